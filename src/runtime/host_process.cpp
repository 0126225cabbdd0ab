#include "runtime/host_process.h"

#include "core/errors.h"
#include "dispatch/cap_check.h"
#include "inner/workflow_codec.h"
#include "telemetry/logging.h"

#include <exception>
#include <future>
#include <optional>
#include <random>
#include <utility>

namespace rattanmount::runtime {

namespace {

constexpr std::size_t event_queue_capacity = 50000;
/// The names of the streams in calls between hosts.
constexpr const char* cell_stream = "cell";
constexpr const char* configuration_stream = "configuration";
constexpr const char* worker_stream = "workers";
/// Bounds of the delay after which a refused caller is asked to retry.
constexpr std::chrono::seconds min_retry_after{1};
constexpr std::chrono::seconds max_retry_after{5};
/// Pause between two rounds of the control thread, so that events in quick succession share a round.
constexpr core::milliseconds batching_delay{3};
/// Timeout of queries that the control thread answers from memory.
constexpr core::milliseconds query_timeout{1000};
/// How long the log may hold a read of the configuration open; a fraction of the configuration's maximum age
/// if that is shorter, so that one failed read leaves time for others.
constexpr core::milliseconds configuration_read_wait{700};
/// Timeout of the first read of the newest configuration, which is a single entry.
constexpr core::milliseconds configuration_load_timeout{1000};
/// Timeout of a read of the configuration for a caller that waits for it.
constexpr core::milliseconds configuration_read_timeout{700};
/// Pause between two reads of the worker entries. Each worker rewrites its entry every one or two seconds, so
/// that many workers cause many small entries.
constexpr core::milliseconds worker_read_interval{100};
/// Pause between two reads of the cell's records by a host that is not the leader.
constexpr core::milliseconds follower_read_interval{80};
/// Refusal timeout of the leader's records: so long that in practice they are retried until the log reports
/// their outcome.
constexpr core::milliseconds leader_refusal_timeout = std::chrono::hours{24};

std::vector<cell::keyed_record> encode(const std::vector<workflow::cell_record>& records) {
    std::vector<cell::keyed_record> items;
    for (const auto& record : records) {
        for (auto& item : inner::encode_record(record)) {
            items.push_back(std::move(item));
        }
    }
    return items;
}

/// Decodes a record of the cell; logs and skips one that cannot be decoded.
/// @param offset the record's offset in the log, for the log line.
std::optional<workflow::cell_record> decode_or_skip(const cell::keyed_record& item,
                                                    const std::string& offset) {
    try {
        return inner::decode_record(item);
    } catch (const std::exception& error) {
        telemetry::log_state("undecodable log record skipped", {{"offset", offset}, {"reason", error.what()}},
                             telemetry::log_level::warning);
        return std::nullopt;
    }
}

request_answer to_request_answer(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::stored:
        return request_answer::stored;
    case request_outcome::refused:
        return request_answer::unavailable;
    case request_outcome::rejected:
        return request_answer::rejected;
    case request_outcome::conflict:
        return request_answer::conflict;
    case request_outcome::no_job:
        return request_answer::no_job;
    case request_outcome::unknown:
        break;
    }
    return request_answer::unknown;
}

/// @throws core::invalid_argument if the job can never run under the cap of its team.
void require_fits_cap(const workflow::job_accepted& job, const workflow::configuration& version) {
    if (const auto* team = version.team_of(job.team)) {
        dispatch::check_fits_cap(job.request, *team);
    }
}

double random_fraction() {
    static thread_local std::mt19937 numbers{std::random_device{}()};
    return std::uniform_real_distribution<double>{0, 1}(numbers);
}

} // namespace

host_process::host_process(host_process_options options)
    : options(std::move(options)), events(event_queue_capacity),
      traffic({.max_threads = this->options.max_traffic_threads}),
      peers(this->options.self.incarnation, this->options.connect),
      cell_log(this->make_relay_options(cell_stream, this->options.streams.cell)),
      configuration_log(this->make_relay_options(configuration_stream, this->options.streams.configuration)),
      worker_log(this->make_relay_options(worker_stream, this->options.streams.workers)),
      advice(this->make_advice_options()), records(this->make_store_options()),
      config(this->options.max_configuration_age), keys(this->make_key_check_options()) {}

host_process::~host_process() {
    this->stop();
}

void host_process::start() {
    const auto producer = this->options.self.incarnation.value();
    this->host_writer = std::make_unique<log_writer>(
        log_writer_options{.producer = producer, .log = this->cell_log.as_log()});
    this->leader_writer = std::make_unique<log_writer>(log_writer_options{
        .producer = "leader", .log = this->cell_log.as_log(), .refusal_timeout = leader_refusal_timeout});
    this->control = std::make_unique<cell_control>(this->make_control_options());
    this->cell_follower = std::make_unique<log_follower>(this->cell_follower_options());
    this->configuration_follower = std::make_unique<log_follower>(this->configuration_follower_options());
    this->worker_follower = std::make_unique<log_follower>(this->worker_follower_options());
    this->control_thread = std::thread{[this] { this->run_control(); }};
}

void host_process::leave() {
    this->post([](cell_control& control, core::steady_time now) { control.leave(now); });
}

void host_process::stop() {
    if (this->stopping.exchange(true)) {
        return;
    }
    this->events.close();
    if (this->control_thread.joinable()) {
        this->control_thread.join();
    }
    this->worker_follower.reset();
    this->configuration_follower.reset();
    this->cell_follower.reset();
    this->traffic.stop(); // Before the writers, because calls in progress may still append.
    this->leader_writer.reset();
    this->host_writer.reset();
    this->options.workers = {}; // Ends calls in flight, whose replies would be posted to this object.
}

request_answer host_process::submit(workflow::job_request request, const workflow::queue_policy& policy,
                                    const tenancy::caller& caller, core::milliseconds limit) {
    workflow::job_accepted record{.request = std::move(request),
                                  .policy = policy,
                                  .accepted_at = this->options.clock.system(),
                                  .team = caller.team};
    this->require_recordable(record);
    if (const auto version = this->configuration().version) {
        require_fits_cap(record, *version);
    }
    return this->await_request(
        [record = std::move(record)](cell_control& control,
                                     std::function<void(request_outcome)> done) mutable {
            control.submit(std::move(record), std::move(done));
        },
        limit);
}

void host_process::require_recordable(const workflow::cell_record& record) const {
    const auto most = this->options.streams.cell.limits.max_record_bytes;
    for (const auto& item : inner::encode_record(record)) {
        if (item.bytes() > most) {
            throw core::too_large("the job takes " + std::to_string(item.bytes()) +
                                  " bytes in the log, the most are " + std::to_string(most));
        }
    }
}

request_answer host_process::cancel(const workflow::job_key& key, const tenancy::caller& caller,
                                    core::milliseconds limit) {
    return this->await_request(
        [key, caller](cell_control& control, std::function<void(request_outcome)> done) {
            control.cancel(key, std::move(done), caller);
        },
        limit);
}

std::optional<workflow::job_phase> host_process::phase_of(const workflow::job_key& key,
                                                          const tenancy::caller& caller) {
    using phase = std::optional<workflow::job_phase>;
    const auto answer = this->query_control<std::optional<phase>>(
        [key, caller](const cell_control& control, core::steady_time now) -> std::optional<phase> {
            const auto known = control.phase_of(key, caller);
            return known || control.is_up_to_date(now) ? std::optional<phase>{known} : std::nullopt;
        });
    if (!answer || !*answer) {
        throw core::unavailable("this host has not read the log to its end recently");
    }
    return **answer;
}

std::uint32_t host_process::pending(const workflow::queue_id& queue) {
    const auto answer = this->query_control<std::optional<std::uint32_t>>(
        [queue](const cell_control& control, core::steady_time now) -> std::optional<std::uint32_t> {
            return control.is_up_to_date(now) ? std::optional{control.pending(queue)} : std::nullopt;
        });
    if (!answer || !*answer) {
        throw core::unavailable("this host has not read the log to its end recently");
    }
    return **answer;
}

configuration_view host_process::configuration() {
    return this->config.view(this->options.clock.steady());
}

bool host_process::is_ready() {
    const auto control_is_ready = this->query_control<bool>(
        [](const cell_control& control, core::steady_time now) { return control.is_ready(now); });
    return control_is_ready.value_or(false) && this->configuration().is_current;
}

std::chrono::seconds host_process::retry_after() {
    const auto outage = this->query_control<core::milliseconds>(
        [](const cell_control& control, core::steady_time now) { return control.time_since_caught_up(now); });
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(outage.value_or(core::milliseconds{0}));
    return std::clamp(seconds, min_retry_after, max_retry_after);
}

cell::peer_calls host_process::peer_calls() {
    cell::peer_calls calls;
    calls.advise = this->options.workers.advise;
    calls.store_items = [this](const std::vector<cell::keyed_record>& items, core::milliseconds limit) {
        if (!this->leading) {
            throw core::unavailable("this host is not the leader");
        }
        return this->records.store_for_peer(items, limit);
    };
    calls.explain_submission = [this](const cell::submission& request, core::milliseconds limit) {
        return this->explain(request, limit);
    };
    calls.explain_job = [this](const cell::keyed_record& acceptance, core::milliseconds) {
        return this->explain_as_leader(acceptance);
    };
    calls.append_log = [this](const std::string& stream, const std::vector<cell::keyed_record>& items,
                              const cell::producer_stamp& stamp, core::milliseconds limit) {
        return this->find_log(stream).as_direct_log().append(items, stamp, limit);
    };
    calls.read_log = [this](const std::string& stream, const cell::log_read_request& request,
                            core::milliseconds limit) {
        return this->find_log(stream).as_direct_log().read(request, limit);
    };
    calls.newest_log = [this](const std::string& stream, core::milliseconds limit) {
        return this->find_log(stream).as_direct_log().newest(limit);
    };
    return calls;
}

dispatch::placement_explanation host_process::explain(const cell::submission& request,
                                                      core::milliseconds limit) {
    const auto [version, is_current] = this->configuration();
    if (!is_current || !this->options.decode_submission) {
        throw core::unavailable("this host has not read the newest configuration recently");
    }
    auto job = this->options.decode_submission(request, *version);
    require_fits_cap(job, *version);
    job.accepted_at = this->options.clock.system();
    const auto acceptance = inner::encode_record(job).front();
    if (this->leading) {
        return this->explain_as_leader(acceptance);
    }
    const auto leader = this->query_control<core::incarnation_id>(
        [](const cell_control& control, core::steady_time) { return control.leader(); });
    const auto peer = leader ? this->peers.find(*leader) : std::nullopt;
    if (!peer) {
        throw core::unavailable("the cell has no leader now");
    }
    return peer->calls.explain_job(acceptance, limit);
}

dispatch::placement_explanation host_process::explain_as_leader(const cell::keyed_record& acceptance) {
    const auto record = inner::decode_record(acceptance);
    const auto* job = std::get_if<workflow::job_accepted>(&record);
    if (job == nullptr) {
        throw core::invalid_argument("the record to explain is not an accepted job");
    }
    using explanation = std::optional<dispatch::placement_explanation>;
    const auto answer = this->query_control<explanation>(
        [job = *job](const cell_control& control, core::steady_time now) -> explanation {
            return control.leads() ? explanation{control.explain(job, now)} : std::nullopt;
        });
    if (!answer || !*answer) {
        throw core::unavailable("this host is not the leader");
    }
    return **answer;
}

relayed_log_options host_process::make_relay_options(const char* stream, const cell::keyed_log& direct) {
    relayed_log_options result{
        .stream = stream, .direct = direct, .peers = [this] { return this->peers.peers(); }};
    if (stream == std::string{cell_stream}) {
        result.relayed_changed = [this](bool relayed) {
            this->post([relayed](cell_control& control, core::steady_time now) {
                control.on_log_relayed(relayed, now);
            });
        };
    }
    return result;
}

relayed_log& host_process::find_log(const std::string& stream) {
    if (stream == cell_stream) {
        return this->cell_log;
    }
    if (stream == configuration_stream) {
        return this->configuration_log;
    }
    if (stream == worker_stream) {
        return this->worker_log;
    }
    throw core::invalid_argument("unknown stream '" + stream + "'");
}

record_store_options host_process::make_store_options() {
    return {
        .append_locally =
            [this](std::vector<cell::keyed_record> items, log_writer::write_callback done) {
                constexpr core::epoch_id only_epoch{1}; // Each incarnation is a producer of its own.
                this->host_writer->write(only_epoch, std::move(items), std::move(done));
            },
        .on_stored = [this](const std::vector<cell::keyed_record>& items) { this->on_records_stored(items); },
        .run_blocking = [this](std::function<void()> work) { this->traffic.post(std::move(work)); }};
}

advice_balancer_options host_process::make_advice_options() {
    return {.ask_locally = this->options.workers.advise, .concurrency_changed = [this](std::uint32_t count) {
                this->post([count](cell_control& control, core::steady_time) {
                    control.job_dispatcher().set_max_advice_requests(count);
                });
            }};
}

cell_control_options host_process::make_control_options() {
    cell_control_options result;
    result.election = {
        .host = this->options.self.host, .self = this->options.self.incarnation, .random = random_fraction};
    result.dispatch = this->make_dispatch_options();
    result.self = this->options.self;
    result.hooks.store_as_leader = [this](core::epoch_id epoch,
                                          const std::vector<workflow::cell_record>& records,
                                          log_writer::write_callback done) {
        this->leader_writer->write(epoch, encode(records), std::move(done));
    };
    result.hooks.store = [this](const std::vector<workflow::cell_record>& records,
                                log_writer::write_callback done) {
        this->records.store(encode(records), std::move(done));
    };
    result.hooks.leader_changed = [this](const core::incarnation_id& leader) {
        this->records.set_leader(this->peers.find(leader));
    };
    result.hooks.leadership_changed = [this](bool leads) {
        this->leading = leads;
        this->worker_follower->set_enabled(leads);
        this->cell_follower->set_read_interval(leads ? core::milliseconds{0} : follower_read_interval);
    };
    result.hooks.post = [this](std::function<void(core::steady_time)> function) {
        this->post([function = std::move(function)](cell_control&, core::steady_time now) { function(now); });
    };
    result.hooks.configuration_changed = [this](std::shared_ptr<const workflow::configuration> version) {
        this->config.apply(std::move(version));
    };
    result.hooks.members_changed = [this](const std::vector<workflow::member_record>& members) {
        this->peers.set_members(members);
        this->records.set_leader(this->peers.find(this->control->leader()));
        this->advice.set_peers(this->peers.peers());
    };
    return result;
}

dispatch::dispatch_options host_process::make_dispatch_options() {
    auto result = this->options.dispatch;
    result.hooks.start = [this](const dispatch::start_order& order) {
        auto without_payload = order;
        without_payload.payload.clear(); // Handling the reply needs only the run.
        this->options.workers.start(
            order, [this, started = std::move(without_payload)](dispatch::order_reply reply) {
                this->post([started, reply](cell_control& control, core::steady_time now) {
                    control.job_dispatcher().on_start_reply(started, reply, now);
                });
            });
    };
    result.hooks.stop = [this](const dispatch::stop_order& order) {
        this->options.workers.stop(order, [this, order](dispatch::order_reply reply) {
            this->post([order, reply](cell_control& control, core::steady_time now) {
                control.job_dispatcher().on_stop_reply(order, reply, now);
            });
        });
    };
    result.hooks.hold = [this](const dispatch::hold_order& order) {
        this->options.workers.hold(order, [this, order](dispatch::hold_reply reply) {
            reply.received_at = this->options.clock.steady();
            this->post([order, reply = std::move(reply)](cell_control& control, core::steady_time now) {
                control.job_dispatcher().on_hold_reply(order, reply, now);
            });
        });
    };
    result.hooks.pace = [this](const dispatch::pace_order& order) {
        this->options.workers.pace(order, [](dispatch::order_reply) {});
    };
    result.hooks.advise = [this](const dispatch::advice_order& order) {
        this->traffic.post([this, order] {
            const auto asked_at = this->options.clock.steady();
            const auto reply = this->advice.advise(order);
            this->post([order, asked_at, reply](cell_control& control, core::steady_time now) {
                control.job_dispatcher().on_advice_reply(order, asked_at, reply, now);
            });
        });
    };
    return result;
}

void host_process::run_control() {
    auto now = this->options.clock.steady();
    while (!this->stopping) {
        const auto wait = std::max(this->control->next_due(now) - this->options.clock.steady(),
                                   core::steady_time::duration::zero());
        auto due_events = this->events.pop_all(std::chrono::steady_clock::now() + wait);
        now = this->options.clock.steady();
        for (const auto& event : due_events) {
            event(*this->control, now);
        }
        this->control->run(now, this->options.clock.system());
        std::this_thread::sleep_for(batching_delay);
    }
}

void host_process::post(control_event event) {
    this->events.push_always(std::move(event));
}

template <typename Value>
std::optional<Value>
host_process::query_control(std::function<Value(const cell_control&, core::steady_time)> query) {
    auto promise = std::make_shared<std::promise<Value>>();
    auto answer = promise->get_future();
    this->post([promise, query = std::move(query)](cell_control& control, core::steady_time now) {
        promise->set_value(query(control, now));
    });
    if (answer.wait_for(query_timeout) != std::future_status::ready) {
        return std::nullopt;
    }
    return answer.get();
}

request_answer
host_process::await_request(std::function<void(cell_control&, std::function<void(request_outcome)>)> request,
                            core::milliseconds limit) {
    auto promise = std::make_shared<std::promise<request_answer>>();
    auto answer = promise->get_future();
    this->post([promise, request = std::move(request)](cell_control& control, core::steady_time now) {
        if (!control.is_up_to_date(now)) {
            promise->set_value(request_answer::not_ready);
            return;
        }
        request(control,
                [promise](request_outcome outcome) { promise->set_value(to_request_answer(outcome)); });
    });
    if (answer.wait_for(limit) != std::future_status::ready) {
        return request_answer::unknown;
    }
    return answer.get();
}

void host_process::on_cell_batch(const log_batch& batch) {
    auto decoded = std::make_shared<record_batch>();
    decoded->caught_up = batch.caught_up;
    decoded->asked_at = batch.asked_at;
    for (const auto& item : batch.items) {
        if (auto record = decode_or_skip(item.record, std::to_string(item.offset.value()))) {
            decoded->records.emplace_back(item.offset, std::move(*record));
        }
    }
    this->post(
        [decoded](cell_control& control, core::steady_time now) { control.on_records(*decoded, now); });
}

void host_process::on_records_stored(const std::vector<cell::keyed_record>& items) {
    std::vector<workflow::cell_record> records;
    records.reserve(items.size());
    for (const auto& item : items) {
        if (auto record = decode_or_skip(item, "")) {
            records.push_back(std::move(*record));
        }
    }
    this->post([records = std::move(records)](cell_control& control, core::steady_time now) {
        control.on_stored(records, now);
    });
}

void host_process::on_configuration_batch(const log_batch& batch, bool confirmed) {
    // Each version is complete, so only the newest one needs to be decoded.
    for (auto item = batch.items.rbegin(); item != batch.items.rend(); ++item) {
        if (auto version = this->options.streams.decode_configuration(item->record)) {
            const auto arrived_at = this->options.clock.steady();
            this->post([version = std::move(*version), arrived_at](cell_control& control,
                                                                   core::steady_time now) mutable {
                const auto waited = std::chrono::duration_cast<core::milliseconds>(now - arrived_at);
                control.on_configuration(std::move(version), waited);
            });
            break;
        }
    }
    if (confirmed) {
        // The control thread handles events in order, so it has applied the version before.
        this->post([this, asked_at = batch.asked_at](cell_control&, core::steady_time) {
            this->config.confirm(asked_at);
        });
    }
}

key_check_options host_process::make_key_check_options() {
    return {.find_team = [this](const tenancy::api_key& key) -> std::optional<core::team_id> {
                const auto version = this->configuration().version;
                return version != nullptr ? version->keys->team_of(key) : std::nullopt;
            },
            .read_configuration = [this] { return this->read_configuration(); },
            .now = this->options.clock.steady};
}

bool host_process::read_configuration() {
    auto position = this->configuration_follower->position();
    if (!position) {
        return false;
    }
    const auto log = this->configuration_log.as_log();
    const auto asked_at = this->options.clock.steady();
    bool at_end = false;
    while (!at_end) {
        auto answer = log.read({.from = *position}, configuration_read_timeout);
        if (answer.status != cell::log_status::done) {
            return false;
        }
        position = answer.next;
        at_end = answer.at_end;
        this->on_configuration_batch({.items = std::move(answer.items), .asked_at = asked_at}, at_end);
    }
    // The control thread handles events in order, so it has applied what was posted before.
    return this->query_control<bool>([](const cell_control&, core::steady_time) { return true; })
        .value_or(false);
}

void host_process::on_worker_batch(const log_batch& batch) {
    std::vector<dispatch::worker_entry> listed;
    std::vector<core::worker_id> removed;
    for (const auto& item : batch.items) {
        if (auto entry = this->options.streams.decode_worker(item.record)) {
            listed.push_back(std::move(*entry));
        } else if (item.record.value.empty()) {
            removed.emplace_back(item.record.key);
        }
    }
    if (batch.reset) {
        this->post([listed](cell_control& control, core::steady_time now) {
            control.job_dispatcher().set_worker_list(listed, now);
        });
        return;
    }
    if (listed.empty() && removed.empty()) {
        return;
    }
    this->post([listed, removed](cell_control& control, core::steady_time now) {
        for (const auto& entry : listed) {
            control.job_dispatcher().set_worker(entry, now);
        }
        for (const auto& worker : removed) {
            control.job_dispatcher().drop_worker(worker);
        }
    });
}

log_follower_options host_process::cell_follower_options() {
    return {.name = "cell",
            .log = this->cell_log.as_log(),
            .read_interval = follower_read_interval,
            .now = this->options.clock.steady,
            .sink = [this](const log_batch& batch) { this->on_cell_batch(batch); }};
}

log_follower_options host_process::configuration_follower_options() {
    return {.name = "configuration",
            .log = this->configuration_log.as_log(),
            .wait = std::min(configuration_read_wait, this->options.max_configuration_age / 4),
            .load_timeout = configuration_load_timeout,
            .now = this->options.clock.steady,
            .sink = [this](const log_batch& batch) {
                this->on_configuration_batch(batch, batch.reset || batch.caught_up);
            }};
}

log_follower_options host_process::worker_follower_options() {
    return {.name = "workers",
            .log = this->worker_log.as_log(),
            .read_interval = worker_read_interval,
            .enabled = false,
            .sink = [this](const log_batch& batch) { this->on_worker_batch(batch); }};
}

} // namespace rattanmount::runtime
