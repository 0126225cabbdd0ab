#include "app/entry_host.h"

#include "app/control_call.h"
#include "core/errors.h"
#include "release/note_text.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdint>
#include <random>
#include <thread>
#include <utility>

namespace rattanmount::app {

namespace {

using control::host_control;

/// The timeout of calls that the control thread answers immediately.
constexpr core::milliseconds control_timeout{1000};
/// The delay between two checks whether all shards are handed over.
constexpr core::milliseconds handover_poll_interval{50};

std::vector<cell::region_layout> regions_of(const settings::host_settings& settings) {
    std::vector<cell::region_layout> regions;
    for (const auto& region : settings.cell.regions) {
        regions.push_back({.name = region.name, .data_centres = region.data_centres});
    }
    return regions;
}

core::milliseconds append_spacing(const settings::host_settings& settings) {
    // The owner of each shard appends at most once per spacing, so that all shards together stay within the
    // cell's limit of appends per second.
    return core::milliseconds{1000 * settings.cell.shards / settings.platform.log.appends_per_second};
}

control::shard_controller_options controller_options(const settings::host_settings& settings) {
    const auto& workers = settings.platform.workers;
    control::shard_controller_options options;
    options.session.append_spacing = append_spacing(settings);
    options.session.read_interval = settings.platform.log.shard_read_interval;
    options.runner.lease = {.term = workers.lease_term,
                            .renew_interval = workers.renew_interval,
                            .task_hold = workers.task_hold,
                            .timeout = workers.timeout,
                            .clock_drift = workers.clock_drift};
    options.runner.scheduling.urgent_reserve = settings.scheduling.urgent_reserve;
    options.runner.scheduling.ageing_interval = settings.scheduling.ageing;
    options.runner.scheduling.quarantine_failures = settings.scheduling.quarantine_failures;
    options.runner.scheduling.quarantine_time = settings.scheduling.quarantine_time;
    options.keep_outcomes = settings.jobs.keep_outcomes;
    options.queue_limit = settings.jobs.queue_limit;
    options.move_after = settings.jobs.move_after;
    options.snapshot_interval = settings.platform.log.retention / 4;
    options.slots.circuit = {.failure_threshold = settings.quick.circuit_failures,
                             .open_time = settings.quick.circuit_open};
    return options;
}

control::host_control_options control_options(const settings::host_settings& settings,
                                              const core::incarnation_id& incarnation) {
    return {.host = settings.host.name,
            .incarnation = incarnation,
            .inner = settings.host.inner,
            .front = settings.host.front,
            .data_centre = settings.host.data_centre,
            .regions = regions_of(settings),
            .shards = settings.cell.shards,
            .stream_prefix = settings.platform.log.stream_prefix,
            .suspect_after = settings.membership.suspect_after,
            .heartbeat_interval = settings.membership.heartbeat_interval,
            .fleet_interval = settings.platform.fleet.interval,
            .startup_wait = settings.membership.startup_wait,
            .snapshot_interval = settings.platform.log.retention / 4,
            .config_session = {.append_spacing = append_spacing(settings),
                               .read_interval = settings.platform.log.config_read_interval},
            .controller = controller_options(settings),
            .quick = {.queue = {.pool_limit = settings.quick.queue_limit},
                      .rooms = {.random = [engine = std::mt19937{std::random_device{}()}](
                                              std::size_t bound) mutable { return engine() % bound; }}}};
}

/// Returns whether an event is logged. Changes of the cell's state are; events of single jobs and leases,
/// except a lost lease, are only counted and kept in the timeline.
bool is_logged(telemetry::event_kind kind) {
    using type = telemetry::event_kind;
    return kind == type::shard_serving || kind == type::shard_lost || kind == type::shard_released ||
           kind == type::log_down || kind == type::log_up || kind == type::peer_joined ||
           kind == type::note_in_force || kind == type::note_refused || kind == type::circuit_opened ||
           kind == type::circuit_closed || kind == type::lease_lost;
}

} // namespace

entry_host::entry_host(const settings::host_settings& settings)
    : settings(settings), incarnation(core::make_incarnation(settings.host.name)),
      events({.host = settings.host.name,
              .incarnation = this->incarnation,
              .now = [this] { return this->hybrid_clock.now(); }}),
      log({.address = settings.platform.log.address}), fleet({.address = settings.platform.fleet.address}),
      workers({}),
      executors({.max_connections_per_executor = settings.platform.executors.connections_per_host,
                 .max_idle_per_executor = settings.platform.executors.connections_per_host,
                 .idle_limit = settings.platform.executors.idle_timeout,
                 .linger = settings.platform.executors.linger}),
      peers(inner::inner_client_options{}),
      orders({.log = this->log.hooks(),
              .fleet = this->fleet.hooks(),
              .workers = this->workers.hooks(),
              .connect = [this](const core::endpoint& peer) { return this->peers.connect(peer); },
              .log_timeout = settings.platform.log.timeout,
              .fleet_timeout = settings.platform.fleet.timeout,
              .worker_timeout = settings.platform.workers.timeout,
              .log_threads = settings.traffic.log_threads,
              .worker_threads = settings.traffic.worker_threads,
              .hybrid_time = [this] { return this->hybrid_clock.now().number(); },
              .observe_time =
                  [this](std::uint64_t time) {
                      this->hybrid_clock.observe(core::hybrid_time::from_number(time));
                  },
              .on_change = [this](telemetry::event_kind kind,
                                  const telemetry::event_fields& about) { this->record(kind, about); }}),
      state(control_options(settings, this->incarnation), this->orders.hooks()) {}

entry_host::~entry_host() {
    this->stop();
}

void entry_host::record(telemetry::event_kind kind, const telemetry::event_fields& about) {
    this->events.record(kind, about);
    this->metrics
        .counter("rattanmount_events_total", "Changes of state", {{"kind", std::string{to_string(kind)}}})
        .add(1);
    if (is_logged(kind)) {
        telemetry::log_state(to_string(kind),
                             {{"worker", about.worker.value()},
                              {"shard", about.shard ? std::to_string(about.shard->value()) : ""},
                              {"detail", about.detail}});
    }
}

void entry_host::start() {
    const auto connect = [this](const core::endpoint& peer) { return this->peers.connect(peer); };
    this->control = std::make_unique<control::control_thread>(
        control::control_thread_options{.queue_capacity = this->settings.traffic.control_queue}, this->state,
        [this](control::control_thread& thread) { this->orders.attach(thread); });
    this->jobs = std::make_unique<job_router>(job_router_options{.connect = connect}, *this->control);
    this->quick = std::make_unique<quick_request_handler>(
        quick_request_handler_options{.incarnation = this->incarnation,
                                      .attempt_timeout = this->settings.quick.attempt_timeout,
                                      .max_attempts = this->settings.quick.max_attempts,
                                      .retry_budget = {.per_request = this->settings.quick.retry_budget},
                                      .metrics = &this->metrics,
                                      .connect = connect,
                                      .executors = this->executors.hooks()},
        *this->control);
    this->peer_server = std::make_unique<inner::inner_server>(
        inner::inner_server_options{.listen = this->settings.host.inner,
                                    .max_connections = this->settings.traffic.inner_threads,
                                    .calls = this->peer_handlers()});
    this->peer_server->start();
    this->caller_server = std::make_unique<front::http_front>(
        front::http_front_options{.listen = this->settings.host.front,
                                  .max_threads = this->settings.traffic.front_threads,
                                  .max_body_bytes = this->settings.traffic.body_limit_bytes,
                                  .calls = this->caller_handlers()});
    this->caller_server->start();
    this->events.record(telemetry::event_kind::host_started, {});
    telemetry::log_state("host_started", {{"host", this->settings.host.name.value()},
                                          {"incarnation", this->incarnation.value()},
                                          {"front", this->settings.host.front.text()}});
}

void entry_host::stop() {
    if (!this->control) {
        return;
    }
    telemetry::log_state("host_stopping", {{"host", this->settings.host.name.value()}});
    this->events.record(telemetry::event_kind::host_stopping, {});
    const auto deadline = std::chrono::steady_clock::now() + this->settings.shutdown.grace;
    this->stopping = true;
    this->control->reply([](host_control& host, core::steady_time now) { host.leave(now); });
    bool handed_over = false;
    while (!handed_over && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(handover_poll_interval);
        handed_over = call_control<bool>(*this->control, control_timeout,
                                         [](host_control& host, core::steady_time, const auto& respond) {
                                             respond(host.has_left());
                                         })
                          .answer.value_or(false);
    }
    this->caller_server->stop(this->settings.shutdown.grace);
    this->peer_server->stop(this->settings.shutdown.grace);
    this->orders.stop();
    this->control->stop();
    this->caller_server.reset();
    this->peer_server.reset();
    this->control.reset();
    telemetry::log_state("host_stopped", {{"handed_on", handed_over ? "true" : "false"}});
}

core::cell_calls entry_host::caller_handlers() {
    return {.submit = [this](const core::job_spec& spec,
                             core::milliseconds limit) { return this->jobs->submit(spec, limit); },
            .status = [this](const core::job_id& job,
                             core::milliseconds limit) { return this->jobs->status(job, limit); },
            .cancel = [this](const core::job_id& job,
                             core::milliseconds limit) { return this->jobs->cancel(job, limit); },
            .explain = [this](const core::job_id& job,
                              core::milliseconds limit) { return this->jobs->explain(job, limit); },
            .quick = [this](const core::quick_request& request) { return this->quick->call(request); },
            .apply_note = [this](const std::string& note,
                                 core::milliseconds limit) { return this->apply_note(note, limit); },
            .show_notes =
                [this] {
                    return call_control<std::string>(
                               *this->control, control_timeout,
                               [](host_control& host, core::steady_time, const auto& respond) {
                                   respond(release::format_policies(host.configuration().policies()));
                               })
                        .answer.value_or("");
                },
            .hosts =
                [this] {
                    return call_control<std::vector<core::host_status>>(
                               *this->control, control_timeout,
                               [](host_control& host, core::steady_time now, const auto& respond) {
                                   respond(host.hosts(now));
                               })
                        .answer.value_or(std::vector<core::host_status>{});
                },
            .timeline = [this] { return this->events.to_json_lines(); },
            .metrics = [this] { return this->render_metrics(); },
            .ready =
                [this] {
                    return !this->stopping &&
                           call_control<bool>(*this->control, control_timeout,
                                              [](host_control& host, core::steady_time, const auto& respond) {
                                                  respond(host.ready());
                                              })
                               .answer.value_or(false);
                }};
}

core::note_answer entry_host::apply_note(const std::string& text, core::milliseconds limit) {
    const auto note = release::parse_note(text);
    // The control thread answers `pending` shortly before the caller's limit expires.
    constexpr core::milliseconds margin{200};
    const auto answer = call_control<core::note_answer>(
        *this->control, limit,
        [note, limit, margin](host_control& host, core::steady_time now, const auto& respond) {
            host.apply_note(note, std::max(limit - margin, core::milliseconds{0}), now, respond);
        });
    if (!answer.accepted) {
        return {.verdict = core::note_verdict::refused, .reason = "this entry host is overloaded"};
    }
    return answer.answer.value_or(
        core::note_answer{.verdict = core::note_verdict::unsettled,
                          .reason = "the log has not answered in time; repeat the call"});
}

cell::owner_answer entry_host::take_job(core::shard_id to, const core::job_spec& spec,
                                        core::system_time accepted_at, core::milliseconds limit) {
    return call_control<cell::owner_answer>(
               *this->control, limit,
               [to, spec, accepted_at](host_control& host, core::steady_time now, const auto& respond) {
                   host.submit(to, spec, accepted_at, true, now, respond);
               })
        .answer.value_or(cell::owner_answer{});
}

cell::peer_calls entry_host::peer_handlers() {
    const auto answer_or_unsettled = [](const control_result<cell::owner_answer>& result) {
        if (!result.accepted) {
            return cell::owner_answer{};
        }
        return result.answer.value_or(
            cell::owner_answer{.is_owner = true,
                               .answer = {.state = core::answer_state::unsettled,
                                          .reason = "outcome not known in time; query it by the same key"}});
    };
    return {
        .heartbeat =
            [this](const cell::peer_view& caller, core::milliseconds limit) {
                this->hybrid_clock.observe(core::hybrid_time::from_number(caller.clock));
                return call_control<cell::peer_view>(
                           *this->control, limit,
                           [caller](host_control& host, core::steady_time now, const auto& respond) {
                               host.on_view(caller, now);
                               respond(host.view(now));
                           })
                    .answer.value_or(cell::peer_view{.host = this->settings.host.name});
            },
        .submit =
            [this, answer_or_unsettled](core::shard_id shard, const core::job_spec& spec,
                                        core::milliseconds limit) {
                return answer_or_unsettled(call_control<cell::owner_answer>(
                    *this->control, limit,
                    [shard, spec](host_control& host, core::steady_time now, const auto& respond) {
                        host.submit(shard, spec, std::chrono::system_clock::now(), false, now, respond);
                    }));
            },
        .status =
            [this](core::shard_id shard, const core::job_id& job, core::milliseconds limit) {
                return call_control<cell::owner_answer>(
                           *this->control, limit,
                           [shard, job](host_control& host, core::steady_time now, const auto& respond) {
                               host.status(shard, job, now, respond);
                           })
                    .answer.value_or(cell::owner_answer{});
            },
        .cancel =
            [this, answer_or_unsettled](core::shard_id shard, const core::job_id& job,
                                        core::milliseconds limit) {
                return answer_or_unsettled(call_control<cell::owner_answer>(
                    *this->control, limit,
                    [shard, job](host_control& host, core::steady_time now, const auto& respond) {
                        host.cancel(shard, job, now, respond);
                    }));
            },
        .explain =
            [this](core::shard_id shard, const core::job_id& job, core::milliseconds limit) {
                return call_control<cell::owner_answer>(
                           *this->control, limit,
                           [shard, job](host_control& host, core::steady_time now, const auto& respond) {
                               host.explain(shard, job, now, respond);
                           })
                    .answer.value_or(cell::owner_answer{});
            },
        .quick =
            [this](core::shard_id shard, const core::quick_request& request) {
                return this->quick->serve_as_owner(shard, request);
            },
        .take_job = [this](core::shard_id to, const core::job_spec& spec, core::system_time accepted_at,
                           core::milliseconds limit) { return this->take_job(to, spec, accepted_at, limit); },
        .reserve_slot =
            [this](core::shard_id shard, const core::service_id& service, const core::incarnation_id& caller,
                   core::milliseconds request_limit, core::milliseconds limit) {
                // The control thread answers shortly before the caller's limit expires.
                const auto wait = limit * 3 / 4;
                return call_control<cell::slot_grant>(
                           *this->control, limit,
                           [shard, service, caller, request_limit,
                            wait](host_control& host, core::steady_time now, const auto& respond) {
                               host.reserve_for_peer(shard, service, caller, request_limit, wait, now,
                                                     respond);
                           })
                    .answer.value_or(cell::slot_grant{.reason = "the owner is overloaded"});
            },
        .release_slot =
            [this](core::shard_id shard, std::uint64_t grant, cell::slot_release how, core::milliseconds) {
                this->control->reply([shard, grant, how](host_control& host, core::steady_time now) {
                    host.release_slot(shard, grant, how, now);
                });
            },
        .copy_config =
            [this](core::milliseconds limit) {
                return call_control<cell::config_copy>(
                           *this->control, limit,
                           [](host_control& host, core::steady_time, const auto& respond) {
                               respond(host.copy_config());
                           })
                    .answer.value_or(cell::config_copy{});
            },
        .timeline = [this](core::milliseconds) { return this->events.to_json_lines(); }};
}

std::string entry_host::render_metrics() {
    this->metrics.gauge("rattanmount_orders_waiting", "Orders of the control thread that wait for a thread")
        .set(static_cast<double>(this->orders.queued()));
    return this->metrics.render();
}

int run_entry_host(const settings::host_settings& settings) {
    telemetry::configure_logging(settings.log);
    sigset_t termination_signals{};
    sigemptyset(&termination_signals);
    sigaddset(&termination_signals, SIGTERM);
    sigaddset(&termination_signals, SIGINT);
    // Blocked before the first thread starts: threads inherit the mask, so that only sigwait() receives the
    // signals.
    pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);
    entry_host host{settings};
    host.start();
    int received = 0;
    sigwait(&termination_signals, &received);
    host.stop();
    return 0;
}

} // namespace rattanmount::app
