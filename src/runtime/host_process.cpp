#include "runtime/host_process.h"

#include "core/errors.h"
#include "inner/workflow_codec.h"
#include "telemetry/logging.h"

#include <future>
#include <random>
#include <utility>

namespace rattanmount::runtime {

namespace {

constexpr std::size_t event_capacity = 50000;
/// The streams' names between hosts.
constexpr const char* cell_stream = "cell";
constexpr const char* configuration_stream = "configuration";
constexpr const char* worker_stream = "workers";
/// Bounds of when a caller that was refused is told to come back.
constexpr std::chrono::seconds shortest_return{1};
constexpr std::chrono::seconds longest_return{5};
/// Between two rounds of the control thread, so that events that come close together share one.
constexpr core::milliseconds gather_time{3};
/// For questions that the control thread answers from memory.
constexpr core::milliseconds question_limit{1000};
/// Between two reads of the list of workers, each of which writes about itself every second or two.
constexpr core::milliseconds worker_read_spacing{100};
/// As above, of the cell's records by a host that does not lead.
constexpr core::milliseconds follower_spacing{80};
/// The leader's records are tried until the log tells their fate.
constexpr core::milliseconds no_refusal_limit = std::chrono::hours{24};

std::vector<cell::keyed_bytes> encode(const std::vector<workflow::cell_record>& records) {
    std::vector<cell::keyed_bytes> items;
    for (const auto& record : records) {
        for (auto& item : inner::encode_record(record)) {
            items.push_back(std::move(item));
        }
    }
    return items;
}

request_answer answer_of(request_fate fate) {
    switch (fate) {
    case request_fate::stored:
        return request_answer::stored;
    case request_fate::refused:
        return request_answer::unavailable;
    case request_fate::unsettled:
        break;
    }
    return request_answer::unsettled;
}

double random_share() {
    static thread_local std::mt19937 numbers{std::random_device{}()};
    return std::uniform_real_distribution<double>{0, 1}(numbers);
}

} // namespace

host_process::host_process(host_process_options options)
    : options(std::move(options)), events(event_capacity),
      traffic({.max_threads = this->options.max_traffic_threads}),
      peers(this->options.self.incarnation, this->options.connect),
      cell_log(this->relay_options(cell_stream, this->options.streams.cell)),
      configuration_log(this->relay_options(configuration_stream, this->options.streams.configuration)),
      worker_log(this->relay_options(worker_stream, this->options.streams.workers)),
      advice(this->make_advice_options()), records(this->make_store_options()) {}

host_process::~host_process() {
    this->stop();
}

void host_process::start() {
    const auto producer = this->options.self.incarnation.value();
    this->own_writer = std::make_unique<log_writer>(
        log_writer_options{.producer = producer, .log = this->cell_log.as_log()});
    this->leader_writer = std::make_unique<log_writer>(log_writer_options{
        .producer = "leader", .log = this->cell_log.as_log(), .refusal_limit = no_refusal_limit});
    this->control = std::make_unique<cell_control>(this->make_control_options());
    this->cell_follower = std::make_unique<keyed_follower>(this->cell_follower_options());
    this->configuration_follower = std::make_unique<keyed_follower>(this->configuration_follower_options());
    this->worker_follower = std::make_unique<keyed_follower>(this->worker_follower_options());
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
    this->traffic.stop(); // Before the writers, since calls that are out may end with an append.
    this->leader_writer.reset();
    this->own_writer.reset();
    this->options.workers = {}; // Ends the calls that are out, which would tell this host of their replies.
}

request_answer host_process::submit(workflow::job_request request, const workflow::queue_policy& policy,
                                    core::milliseconds limit) {
    return this->await(
        [this, request = std::move(request), policy](cell_control& control,
                                                     std::function<void(request_fate)> done) mutable {
            control.submit(std::move(request), policy, this->options.clock.system(), std::move(done));
        },
        limit);
}

request_answer host_process::cancel(const workflow::job_key& key, core::milliseconds limit) {
    return this->await(
        [key](cell_control& control, std::function<void(request_fate)> done) {
            control.cancel(key, std::move(done));
        },
        limit);
}

std::optional<workflow::job_phase> host_process::phase_of(const workflow::job_key& key) {
    using phase = std::optional<workflow::job_phase>;
    const auto answer = this->ask<std::optional<phase>>(
        [key](const cell_control& control, core::steady_time now) -> std::optional<phase> {
            const auto known = control.phase_of(key);
            return known || control.knows_jobs(now) ? std::optional<phase>{known} : std::nullopt;
        });
    if (!answer || !*answer) {
        throw core::unavailable("this host has not read the log lately");
    }
    return **answer;
}

std::uint32_t host_process::pending(const workflow::queue_id& queue) {
    const auto answer = this->ask<std::optional<std::uint32_t>>(
        [queue](const cell_control& control, core::steady_time now) -> std::optional<std::uint32_t> {
            return control.knows_jobs(now) ? std::optional{control.pending(queue)} : std::nullopt;
        });
    if (!answer || !*answer) {
        throw core::unavailable("this host has not read the log lately");
    }
    return **answer;
}

std::shared_ptr<const workflow::configuration> host_process::configuration() {
    const std::lock_guard guard{this->config_mutex};
    return this->config;
}

bool host_process::ready() {
    return this
        ->ask<bool>([](const cell_control& control, core::steady_time now) { return control.ready(now); })
        .value_or(false);
}

std::chrono::seconds host_process::retry_after() {
    const auto away = this->ask<core::milliseconds>(
        [](const cell_control& control, core::steady_time now) { return control.log_away(now); });
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(away.value_or(core::milliseconds{0}));
    return std::clamp(seconds, shortest_return, longest_return);
}

cell::peer_calls host_process::peer_calls() {
    cell::peer_calls calls;
    calls.advise = this->options.workers.advise;
    calls.store_items = [this](const std::vector<cell::keyed_bytes>& items, core::milliseconds limit) {
        if (!this->leading) {
            throw core::unavailable("this host does not lead");
        }
        return this->records.store_for_peer(items, limit);
    };
    calls.append_log = [this](const std::string& stream, const std::vector<cell::keyed_bytes>& items,
                              const cell::producer_stamp& stamp, core::milliseconds limit) {
        return this->log_named(stream).for_peers().append(items, stamp, limit);
    };
    calls.read_log = [this](const std::string& stream, core::log_offset from, core::milliseconds wait,
                            core::milliseconds limit) {
        return this->log_named(stream).for_peers().read(from, wait, limit);
    };
    calls.newest_log = [this](const std::string& stream, core::milliseconds limit) {
        return this->log_named(stream).for_peers().newest(limit);
    };
    return calls;
}

relayed_log_options host_process::relay_options(const char* stream, const cell::keyed_log& direct) {
    relayed_log_options made{
        .stream = stream, .direct = direct, .peers = [this] { return this->peers.peers(); }};
    if (stream == std::string{cell_stream}) {
        made.relayed_changed = [this](bool relayed) {
            this->post([relayed](cell_control& control, core::steady_time now) {
                control.on_log_relayed(relayed, now);
            });
        };
    }
    return made;
}

relayed_log& host_process::log_named(const std::string& stream) {
    if (stream == cell_stream) {
        return this->cell_log;
    }
    if (stream == configuration_stream) {
        return this->configuration_log;
    }
    if (stream == worker_stream) {
        return this->worker_log;
    }
    throw core::invalid_argument("there is no stream '" + stream + "'");
}

record_store_options host_process::make_store_options() {
    return {.append_here =
                [this](std::vector<cell::keyed_bytes> items, log_writer::settled done) {
                    constexpr core::epoch_id only_epoch{1}; // An incarnation has one.
                    this->own_writer->write(only_epoch, std::move(items), std::move(done));
                },
            .stored = [this](const std::vector<cell::keyed_bytes>& items) { this->take_stored(items); },
            .run_blocking = [this](std::function<void()> work) { this->traffic.post(std::move(work)); }};
}

advice_lines_options host_process::make_advice_options() {
    return {.ask_here = this->options.workers.advise, .count_changed = [this](std::uint32_t count) {
                this->post([count](cell_control& control, core::steady_time) {
                    control.work().set_advice_lines(count);
                });
            }};
}

cell_control_options host_process::make_control_options() {
    cell_control_options made;
    made.election = {
        .host = this->options.self.host, .self = this->options.self.incarnation, .random = random_share};
    made.dispatch = this->make_dispatch_options();
    made.self = this->options.self;
    made.hooks.store_as_leader = [this](core::epoch_id epoch,
                                        const std::vector<workflow::cell_record>& records,
                                        log_writer::settled done) {
        this->leader_writer->write(epoch, encode(records), std::move(done));
    };
    made.hooks.store = [this](const std::vector<workflow::cell_record>& records, log_writer::settled done) {
        this->records.store(encode(records), std::move(done));
    };
    made.hooks.leader_known = [this](const core::incarnation_id& leader) {
        this->records.set_leader(this->peers.find(leader));
    };
    made.hooks.lead_changed = [this](bool leads) {
        this->leading = leads;
        this->worker_follower->set_enabled(leads);
        this->cell_follower->set_spacing(leads ? core::milliseconds{0} : follower_spacing);
    };
    made.hooks.post = [this](std::function<void(core::steady_time)> later) {
        this->post([later = std::move(later)](cell_control&, core::steady_time now) { later(now); });
    };
    made.hooks.configured = [this](std::shared_ptr<const workflow::configuration> version) {
        const std::lock_guard guard{this->config_mutex};
        this->config = std::move(version);
    };
    made.hooks.members_changed = [this](const std::vector<workflow::member_record>& members) {
        this->peers.set_members(members);
        this->records.set_leader(this->peers.find(this->control->leader()));
        this->advice.set_peers(this->peers.peers());
    };
    return made;
}

dispatch::dispatch_options host_process::make_dispatch_options() {
    auto made = this->options.dispatch;
    made.hooks.start = [this](const dispatch::start_order& order) {
        auto known = order;
        known.payload.clear(); // The reply is told of the run alone.
        this->options.workers.start(order, [this, known = std::move(known)](dispatch::order_reply reply) {
            this->post([known, reply](cell_control& control, core::steady_time now) {
                control.work().on_start_reply(known, reply, now);
            });
        });
    };
    made.hooks.stop = [this](const dispatch::stop_order& order) {
        this->options.workers.stop(order, [this, order](dispatch::order_reply reply) {
            this->post([order, reply](cell_control& control, core::steady_time now) {
                control.work().on_stop_reply(order, reply, now);
            });
        });
    };
    made.hooks.hold = [this](const dispatch::hold_order& order) {
        this->options.workers.hold(order, [this, order](dispatch::hold_reply reply) {
            reply.received_at = this->options.clock.steady();
            this->post([order, reply = std::move(reply)](cell_control& control, core::steady_time now) {
                control.work().on_hold_reply(order, reply, now);
            });
        });
    };
    made.hooks.pace = [this](const dispatch::pace_order& order) {
        this->options.workers.pace(order, [](dispatch::order_reply) {});
    };
    made.hooks.advise = [this](const dispatch::advice_order& order) {
        this->traffic.post([this, order] {
            const auto asked_at = this->options.clock.steady();
            const auto reply = this->advice.advise(order);
            this->post([order, asked_at, reply](cell_control& control, core::steady_time now) {
                control.work().on_advice_reply(order, asked_at, reply, now);
            });
        });
    };
    return made;
}

void host_process::run_control() {
    auto now = this->options.clock.steady();
    while (!this->stopping) {
        const auto wait = std::max(this->control->next_due(now) - this->options.clock.steady(),
                                   core::steady_time::duration::zero());
        auto group = this->events.pop_all(std::chrono::steady_clock::now() + wait);
        now = this->options.clock.steady();
        for (const auto& event : group) {
            event(*this->control, now);
        }
        this->control->run(now, this->options.clock.system());
        std::this_thread::sleep_for(gather_time);
    }
}

void host_process::post(control_event event) {
    this->events.push_always(std::move(event));
}

template <typename Value>
std::optional<Value>
host_process::ask(std::function<Value(const cell_control&, core::steady_time)> question) {
    auto promise = std::make_shared<std::promise<Value>>();
    auto answer = promise->get_future();
    this->post([promise, question = std::move(question)](cell_control& control, core::steady_time now) {
        promise->set_value(question(control, now));
    });
    if (answer.wait_for(question_limit) != std::future_status::ready) {
        return std::nullopt;
    }
    return answer.get();
}

request_answer
host_process::await(std::function<void(cell_control&, std::function<void(request_fate)>)> request,
                    core::milliseconds limit) {
    auto promise = std::make_shared<std::promise<request_answer>>();
    auto answer = promise->get_future();
    this->post([promise, request = std::move(request)](cell_control& control, core::steady_time now) {
        if (!control.knows_jobs(now)) {
            promise->set_value(request_answer::not_ready);
            return;
        }
        request(control, [promise](request_fate fate) { promise->set_value(answer_of(fate)); });
    });
    if (answer.wait_for(limit) != std::future_status::ready) {
        return request_answer::unsettled;
    }
    return answer.get();
}

void host_process::take_cell_part(const followed_part& part) {
    auto group = std::make_shared<record_group>();
    group->caught_up = part.caught_up;
    for (const auto& item : part.items) {
        try {
            group->records.emplace_back(item.offset, inner::decode_record(item.bytes));
        } catch (const core::invalid_argument& error) {
            telemetry::log_state("record passed over",
                                 {{"offset", std::to_string(item.offset.value())}, {"reason", error.what()}},
                                 telemetry::log_level::warning);
        }
    }
    this->post([group](cell_control& control, core::steady_time now) { control.on_records(*group, now); });
}

void host_process::take_stored(const std::vector<cell::keyed_bytes>& items) {
    std::vector<workflow::cell_record> records;
    records.reserve(items.size());
    for (const auto& item : items) {
        records.push_back(inner::decode_record(item));
    }
    this->post([records = std::move(records)](cell_control& control, core::steady_time now) {
        control.on_stored(records, now);
    });
}

void host_process::take_configuration_part(const followed_part& part) {
    for (const auto& item : part.items) {
        if (auto version = this->options.streams.decode_configuration(item.bytes)) {
            this->post([version = std::move(*version)](cell_control& control, core::steady_time) {
                control.on_configuration(version);
            });
        }
    }
}

void host_process::take_worker_part(const followed_part& part) {
    std::vector<dispatch::worker_entry> listed;
    std::vector<core::worker_id> gone;
    for (const auto& item : part.items) {
        if (auto entry = this->options.streams.decode_worker(item.bytes)) {
            listed.push_back(std::move(*entry));
        } else if (item.bytes.value.empty()) {
            gone.emplace_back(item.bytes.key);
        }
    }
    if (part.reset) {
        this->post(
            [listed](cell_control& control, core::steady_time) { control.work().set_worker_list(listed); });
        return;
    }
    if (listed.empty() && gone.empty()) {
        return;
    }
    this->post([listed, gone](cell_control& control, core::steady_time) {
        for (const auto& entry : listed) {
            control.work().set_worker(entry);
        }
        for (const auto& worker : gone) {
            control.work().drop_worker(worker);
        }
    });
}

keyed_follower_options host_process::cell_follower_options() {
    return {.name = "cell",
            .log = this->cell_log.as_log(),
            .spacing = follower_spacing,
            .sink = [this](const followed_part& part) { this->take_cell_part(part); }};
}

keyed_follower_options host_process::configuration_follower_options() {
    return {.name = "configuration",
            .log = this->configuration_log.as_log(),
            .sink = [this](const followed_part& part) { this->take_configuration_part(part); }};
}

keyed_follower_options host_process::worker_follower_options() {
    return {.name = "workers",
            .log = this->worker_log.as_log(),
            .spacing = worker_read_spacing,
            .enabled = false,
            .sink = [this](const followed_part& part) { this->take_worker_part(part); }};
}

} // namespace rattanmount::runtime
