#include "tests/control/simulated_cell.h"

#include "tests/control/invariant_checks.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr core::milliseconds call_timeout = 500ms;
constexpr core::milliseconds tick_interval = 20ms;
constexpr std::uint16_t first_port = 1000;

core::endpoint inner_of(int host) {
    return {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(first_port + host)};
}

} // namespace

simulated_cell::control_scope::control_scope(const simulated_cell& cell, int host, bool enters)
    : cell(cell), host(host), enters(enters) {
    this->notify(this->enters);
}

simulated_cell::control_scope::~control_scope() {
    this->notify(!this->enters);
}

void simulated_cell::control_scope::notify(bool entered) const {
    if (this->cell.options.observer.control_boundary_crossed) {
        this->cell.options.observer.control_boundary_crossed(this->host, entered);
    }
}

simulated_cell::simulated_cell(simulated_cell_options given)
    : options(std::move(given)), generator(this->options.seed), callers(this->caller_hooks()) {
    const auto& options = this->options;
    this->fleet.version = 1;
    this->fleet.executors = options.executors;
    for (int host = 0; host < options.hosts; ++host) {
        this->fleet.hosts.push_back({.name = core::host_id{"entry-" + std::to_string(host)},
                                     .inner = inner_of(host),
                                     .data_centre = this->data_centre_of(host)});
    }
    for (int rack = 0; rack < options.racks; ++rack) {
        for (int number = 0; number < options.workers_per_rack; ++number) {
            const auto name = "w" + std::to_string(rack) + std::to_string(number);
            const external::listed_worker info{.name = core::worker_id{name},
                                               .address = {.address = "127.0.0.1", .path = "/" + name},
                                               .data_centre = this->data_centre_of(rack),
                                               .rack = core::rack_id{"r" + std::to_string(rack)},
                                               .capacity = options.worker_capacity};
            this->fleet.workers.push_back(info);
            this->workers.push_back(std::make_unique<simulated_worker>(info, options.task_hold));
            this->worker_by_path[info.address.path] = this->workers.back().get();
        }
    }
    this->shown_fleet = this->fleet;
    this->hosts.resize(static_cast<std::size_t>(options.hosts));
    for (int host = 0; host < options.hosts; ++host) {
        this->start(host);
    }
}

simulated_cell::~simulated_cell() {
    // Destroying a host answers the calls that wait in it, which changes the recorded answers of their jobs.
    for (auto& state : this->hosts) {
        state.control.reset();
    }
}

simulated_callers_hooks simulated_cell::caller_hooks() {
    return {.now = [this] { return this->time; },
            .host = [this](int host) { return this->host(host); },
            .host_count = [this] { return static_cast<int>(this->hosts.size()); },
            .host_at = [this](const core::endpoint& inner) { return this->host_at(inner); },
            .delay = [this] { return this->delay(); },
            .on_host =
                [this](int host, core::milliseconds after, std::function<void(control::host_control&)> work) {
                    this->on_host(host, this->hosts[static_cast<std::size_t>(host)].incarnation, after,
                                  std::move(work));
                }};
}

core::data_centre_id simulated_cell::data_centre_of(int number) const {
    std::vector<core::data_centre_id> all;
    for (const auto& region : this->options.regions) {
        all.insert(all.end(), region.data_centres.begin(), region.data_centres.end());
    }
    return all.at(static_cast<std::size_t>(number) % all.size());
}

void simulated_cell::schedule(core::steady_time when, std::function<void()> work) {
    this->events.emplace(when, std::move(work));
}

void simulated_cell::run_for(core::milliseconds span) {
    const auto end = this->time + span;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        auto next = this->events.extract(this->events.begin());
        this->time = std::max(this->time, next.key());
        next.mapped()();
    }
    this->time = end;
}

core::milliseconds simulated_cell::delay() {
    return core::milliseconds{std::uniform_int_distribution<int>{1, 15}(this->generator)};
}

bool simulated_cell::chance(double share) {
    return std::uniform_real_distribution<double>{0, 1}(this->generator) < share;
}

control::host_control_options simulated_cell::options_of(int host) const {
    control::host_control_options result;
    result.host = core::host_id{"entry-" + std::to_string(host)};
    result.incarnation = core::incarnation_id{
        result.host.value() + "-" + std::to_string(this->hosts[static_cast<std::size_t>(host)].incarnation)};
    result.inner = inner_of(host);
    result.data_centre = this->data_centre_of(host);
    result.regions = this->options.regions;
    result.shards = this->options.shards;
    result.suspect_after = 1500ms;
    result.heartbeat_interval = 300ms;
    result.fleet_interval = 500ms;
    result.startup_wait = 1s;
    result.rebalance_after = 3s;
    result.isolation_limit = 4s;
    result.snapshot_interval = 20s;
    result.config_session.append_spacing = 20ms;
    result.config_session.read_interval = 300ms;
    result.controller.session.append_spacing = 20ms;
    result.controller.session.read_interval = 500ms;
    result.controller.runner.lease = {
        .term = 2s, .renew_interval = 500ms, .task_hold = this->options.task_hold, .timeout = call_timeout};
    result.controller.move_after = 2s;
    result.controller.snapshot_interval = 20s;
    if (this->options.adjust) {
        this->options.adjust(result);
    }
    return result;
}

void simulated_cell::start(int host) {
    auto& state = this->hosts[static_cast<std::size_t>(host)];
    ++state.incarnation;
    state.paused_until = {};
    state.control = std::make_unique<control::host_control>(this->options_of(host),
                                                            this->hooks_of(host, state.incarnation));
    this->tick(host, state.incarnation);
}

void simulated_cell::kill(int host) {
    this->hosts[static_cast<std::size_t>(host)].control.reset();
}

void simulated_cell::restart(int host) {
    if (!this->alive(host)) {
        this->start(host);
    }
}

void simulated_cell::pause(int host, core::milliseconds span) {
    this->hosts[static_cast<std::size_t>(host)].paused_until = this->time + span;
}

void simulated_cell::cut(int host, bool from_log, bool from_peers, bool from_workers) {
    auto& state = this->hosts[static_cast<std::size_t>(host)];
    state.no_log = from_log;
    state.no_peers = from_peers;
    state.no_workers = from_workers;
}

void simulated_cell::drop_from_fleet(const core::worker_id& name) {
    ++this->fleet.version;
    std::erase_if(this->fleet.workers, [&](const auto& worker) { return worker.name == name; });
}

void simulated_cell::cut_worker(const core::worker_id& name, bool cut) {
    if (cut) {
        this->cut_workers.insert(name);
    } else {
        this->cut_workers.erase(name);
    }
}

control::host_control* simulated_cell::host(int index) {
    return this->hosts[static_cast<std::size_t>(index)].control.get();
}

bool simulated_cell::alive(int index) const {
    return this->hosts[static_cast<std::size_t>(index)].control != nullptr;
}

void simulated_cell::on_host(int host, std::uint32_t incarnation, core::milliseconds after,
                             std::function<void(control::host_control&)> work) {
    this->schedule(this->time + after, [this, host, incarnation, work = std::move(work)]() mutable {
        auto& state = this->hosts[static_cast<std::size_t>(host)];
        if (!state.control || state.incarnation != incarnation) {
            return;
        }
        if (this->time < state.paused_until) {
            const auto left =
                std::chrono::duration_cast<core::milliseconds>(state.paused_until - this->time) + 1ms;
            this->on_host(host, incarnation, left, std::move(work));
            return;
        }
        const control_scope scope{*this, host, true};
        work(*state.control);
    });
}

void simulated_cell::tick(int host, std::uint32_t incarnation) {
    this->on_host(host, incarnation, tick_interval,
                  [this, host, incarnation](control::host_control& control) {
                      control.tick(this->time);
                      this->tick(host, incarnation);
                  });
}

int simulated_cell::host_at(const core::endpoint& inner) const {
    return inner.port - first_port;
}

simulated_worker* simulated_cell::worker_at(const core::endpoint& address) const {
    const auto found = this->worker_by_path.find(address.path);
    return found == this->worker_by_path.end() ? nullptr : found->second;
}

control::host_hooks simulated_cell::hooks_of(int host, std::uint32_t incarnation) {
    control::host_hooks hooks;
    hooks.append = [=, this](const auto& request) { this->send_append(host, incarnation, request); };
    hooks.read = [=, this](const auto& request) { this->send_read(host, incarnation, request); };
    hooks.lease = [=, this](const auto& order) { this->send_lease(host, incarnation, order); };
    hooks.start = [=, this](const auto& order) { this->send_start(host, incarnation, order); };
    hooks.act = [=, this](const control::act_order& order) {
        this->on_host(host, incarnation, 0ms, [=, this](control::host_control&) {
            this->schedule(this->time + this->delay(), [=, this] {
                if (order.action == external::attempt_action::stop &&
                    !this->chance(this->options.lost_calls)) {
                    this->worker_at(order.address)->stop(order.lease, order.attempt, this->time);
                }
            });
        });
    };
    hooks.move = [=, this](const control::move_order& order) {
        const int peer = this->host_at(order.peer);
        const auto answered = std::make_shared<bool>(false);
        const auto reply = [=, this](bool taken, core::milliseconds after) {
            this->on_host(host, incarnation, after, [=, this](control::host_control& control) {
                if (!std::exchange(*answered, true)) {
                    control.on_moved(order, taken, this->time);
                }
            });
        };
        const auto done = [=, this](const cell::owner_answer& answer) {
            const bool taken = answer.is_owner && answer.answer.state == core::answer_state::accepted;
            reply(taken && !this->chance(this->options.lost_answers), this->delay());
        };
        reply(false, 2 * call_timeout);
        const auto& state = this->hosts[static_cast<std::size_t>(peer)];
        if (!state.control || this->chance(this->options.lost_calls)) {
            done({});
            return;
        }
        this->on_host(peer, state.incarnation, this->delay(), [=, this](control::host_control& control) {
            control.submit(order.to, order.spec, order.accepted_at, true, this->time, done);
        });
    };
    hooks.heartbeat = [=, this](const core::endpoint& to, const cell::peer_view& view) {
        const int peer = this->host_at(to);
        const auto& state = this->hosts[static_cast<std::size_t>(peer)];
        const bool cut = state.no_peers || this->hosts[static_cast<std::size_t>(host)].no_peers;
        if (!state.control || cut || this->chance(this->options.lost_calls)) {
            return;
        }
        this->on_host(peer, state.incarnation, this->delay(), [=, this](control::host_control& control) {
            control.on_view(view, this->time);
            const auto answer = control.view(this->time);
            const control_scope scope{*this, peer, false};
            if (this->options.observer.heartbeat) {
                this->options.observer.heartbeat(host, peer, view, answer);
            }
            this->on_host(host, incarnation, this->delay(),
                          [=, this](control::host_control& caller) { caller.on_view(answer, this->time); });
        });
    };
    hooks.fetch_fleet = [=, this] {
        if (!this->fleet_lags) {
            this->shown_fleet = this->fleet;
        }
        if (this->options.observer.fetched_fleet) {
            this->options.observer.fetched_fleet(host);
        }
        this->on_host(host, incarnation, this->delay(), [=, this](control::host_control& control) {
            control.on_fleet(this->shown_fleet, this->time);
        });
    };
    hooks.copy_config = [=, this](const core::endpoint& to) {
        const int peer = this->host_at(to);
        const auto& state = this->hosts[static_cast<std::size_t>(peer)];
        if (!state.control || state.no_peers || this->hosts[static_cast<std::size_t>(host)].no_peers ||
            this->chance(this->options.lost_calls)) {
            return;
        }
        this->on_host(peer, state.incarnation, this->delay(), [=, this](control::host_control& control) {
            const auto copy = control.copy_config();
            this->on_host(host, incarnation, this->delay(), [=, this](control::host_control& caller) {
                caller.on_config_copy(copy, this->time);
            });
        });
    };
    hooks.append = this->outside(host, std::move(hooks.append));
    hooks.read = this->outside(host, std::move(hooks.read));
    hooks.lease = this->outside(host, std::move(hooks.lease));
    hooks.start = this->outside(host, std::move(hooks.start));
    hooks.act = this->outside(host, std::move(hooks.act));
    hooks.move = this->outside(host, std::move(hooks.move));
    hooks.heartbeat = this->outside(host, std::move(hooks.heartbeat));
    hooks.fetch_fleet = this->outside(host, std::move(hooks.fetch_fleet));
    hooks.copy_config = this->outside(host, std::move(hooks.copy_config));
    hooks.on_change = [](telemetry::event_kind, const telemetry::event_fields&) {};
    hooks.wall_time = [this] {
        return core::system_time{} +
               std::chrono::duration_cast<core::milliseconds>(this->time.time_since_epoch());
    };
    return hooks;
}

void simulated_cell::send_append(int host, std::uint32_t incarnation, const ledger::append_request& request) {
    if (this->options.observer.appended) {
        this->options.observer.appended(host, request);
    }
    const auto answer = [=, this](const external::append_reply& reply, core::milliseconds after) {
        this->on_host(host, incarnation, after, [=, this](control::host_control& control) {
            control.on_append(request.stream, request.sequence, reply, this->time);
        });
    };
    if (this->log_down || this->hosts[static_cast<std::size_t>(host)].no_log) {
        answer({.outcome = external::append_outcome::not_stored, .reason = "down"}, this->delay());
        return;
    }
    if (this->chance(this->options.lost_calls)) {
        answer({.outcome = external::append_outcome::unknown}, call_timeout);
        return;
    }
    // An append whose answer is lost may take effect much later.
    const bool lost = this->chance(this->options.lost_answers);
    const auto arrival = lost && this->chance(0.3) ? 2 * call_timeout : this->delay();
    this->schedule(this->time + arrival, [=, this] {
        const auto offset = this->entries.append(request.stream, request.bytes);
        if (!lost) {
            answer({.outcome = external::append_outcome::stored, .offset = offset}, this->delay());
        }
    });
    if (lost) {
        answer({.outcome = external::append_outcome::unknown}, call_timeout);
    }
}

void simulated_cell::send_read(int host, std::uint32_t incarnation, const ledger::read_request& request) {
    this->schedule(this->time + this->delay(), [=, this] {
        const bool down = this->log_down || this->hosts[static_cast<std::size_t>(host)].no_log ||
                          this->chance(this->options.lost_calls);
        const auto reply = down ? external::read_reply{} : this->entries.read(request.stream, request.from);
        if (this->options.observer.has_read) {
            this->options.observer.has_read(host, reply);
        }
        this->on_host(host, incarnation, down ? call_timeout : this->delay(),
                      [=, this](control::host_control& control) {
                          control.on_read(request.stream, request.from, reply, this->time);
                      });
    });
}

void simulated_cell::send_lease(int host, std::uint32_t incarnation, const control::lease_order& order) {
    // The host itself performs the send, so a pause delays it.
    this->on_host(host, incarnation, 0ms, [=, this](control::host_control&) {
        const control_scope traffic{*this, host, false};
        const auto answer = [=, this](const external::lease_reply& reply, core::milliseconds after) {
            this->on_host(host, incarnation, after, [=, this](control::host_control& control) {
                control.on_lease(order, reply, this->time);
            });
        };
        auto* worker = this->worker_at(order.address);
        const bool cut = this->hosts[static_cast<std::size_t>(host)].no_workers ||
                         this->cut_workers.contains(order.worker);
        if (cut || this->chance(this->options.lost_calls)) {
            answer({}, call_timeout);
            return;
        }
        this->schedule(this->time + this->delay(), [=, this] {
            const auto reply = worker->lease(order.request, this->time);
            if (this->options.observer.leased) {
                this->options.observer.leased(host, order, reply);
            }
            const bool lost = this->chance(this->options.lost_answers);
            answer(lost ? external::lease_reply{} : reply, lost ? call_timeout : this->delay());
        });
    });
}

void simulated_cell::send_start(int host, std::uint32_t incarnation, const control::start_order& order) {
    this->on_host(host, incarnation, 0ms, [=, this](control::host_control&) {
        const control_scope traffic{*this, host, false};
        if (this->options.observer.started) {
            this->options.observer.started(host, order);
        }
        const auto answer = [=, this](const external::start_reply& reply, core::milliseconds after) {
            this->on_host(host, incarnation, after, [=, this](control::host_control& control) {
                control.on_start(order, reply, this->time);
            });
        };
        if (this->time >= order.not_after) {
            answer({.verdict = external::start_verdict::refused, .reason = "lapsed before the send"}, 0ms);
            return;
        }
        this->starts.push_back({.host = host, .at = this->time, .attempt = order.attempt});
        const bool cut = this->hosts[static_cast<std::size_t>(host)].no_workers ||
                         this->cut_workers.contains(order.worker);
        if (cut || this->chance(this->options.lost_calls)) {
            answer({.verdict = external::start_verdict::unknown}, call_timeout);
            return;
        }
        const bool lost = this->chance(this->options.lost_answers);
        // A start whose answer is lost may also arrive late.
        const auto arrival = lost && this->chance(0.3) ? 3 * call_timeout : this->delay();
        const core::milliseconds run_time{std::stol(order.payload)};
        const bool fails = this->chance(this->options.failing_tasks);
        this->schedule(this->time + arrival, [=, this] {
            const auto reply =
                this->worker_at(order.address)
                    ->start(order.lease, order.attempt, order.each, run_time, fails, this->time);
            if (!lost) {
                answer(reply, this->delay());
            }
        });
        if (lost) {
            answer({.verdict = external::start_verdict::unknown}, call_timeout);
        }
    });
}

void simulated_cell::apply_first_note() {
    release::release_note note{.id = core::note_id{"first"}, .author = "tests"};
    note.items.push_back({.policy = release::pool_policy{.name = core::pool_id{"sheets"}, .priority = 100}});
    note.items.push_back({.policy = release::pool_policy{.name = core::pool_id{"proofs"},
                                                         .kind = core::work_kind::gang,
                                                         .priority = 200}});
    note.items.push_back(
        {.policy = release::team_policy{.name = core::team_id{"tabua"}, .region = core::region_id{"fiji"}}});
    std::optional<core::note_answer> answer;
    for (int tries = 0; tries < 10 && (!answer || answer->verdict != core::note_verdict::accepted); ++tries) {
        this->propose(0, note, [&answer](const core::note_answer& given) { answer = given; });
        this->run_for(6s);
    }
    if (!answer || answer->verdict != core::note_verdict::accepted) {
        throw std::runtime_error("the first note is not in force: " + (answer ? answer->reason : ""));
    }
}

std::vector<observed_run> simulated_cell::runs() const {
    std::vector<observed_run> all;
    for (const auto& worker : this->workers) {
        worker->advance(this->time);
        all.insert(all.end(), worker->runs().begin(), worker->runs().end());
    }
    return all;
}

std::vector<std::string> simulated_cell::violations() {
    std::vector<std::string> found;
    for (const auto& worker : this->workers) {
        if (worker->violations() > 0) {
            found.push_back(worker->info().name.value() + " was given more work than its capacity");
        }
    }
    const auto runs = this->runs();
    std::ranges::move(find_repeated_runs(runs, this->jobs()), std::back_inserter(found));
    std::ranges::move(
        find_wrong_answers(runs, this->jobs(), [this](const core::job_id& id) { return this->status(id); }),
        std::back_inserter(found));
    return found;
}

} // namespace rattanmount::tests
