#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "workflow/job_request.h"
#include "workflow/task_name.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::dispatch {

/// One life of a worker: a worker that starts again under its name knows nothing of before.
using life_id = core::number_id<struct life_id_tag>;
/// Proof towards a worker that a step may run there.
using ticket_id = core::text_id<struct ticket_id_tag>;
/// A point on the clock of one life of a worker.
using worker_time = core::milliseconds;

/// A worker as the platform lists it.
struct worker_entry {
    core::worker_id worker;
    life_id life;
    core::endpoint address;
    core::service_id service;
    core::data_centre_id data_centre;
    core::rack_id rack;
    std::vector<workflow::worker_label> labels;
    core::resources capacity;
    bool draining = false;
    core::milliseconds drain_left{0}; ///< The least time until it leaves, where it drains.
};

/// Who is meant by an order, and by which authority.
struct order_target {
    core::worker_id worker;
    life_id life;
    core::endpoint address;
    core::epoch_id token; ///< The worker does nothing for a lower one than it has seen.
};

/// Start one run of a task.
struct start_order {
    order_target target;
    workflow::run_name run;
    std::string payload;
    worker_time lease_until{0};
    workflow::checkpoint_id checkpoint;
    ticket_id ticket;
    core::milliseconds limit{0}; ///< For the answer.
};

/// Stop one run of a task; also keeps it from starting where it has not begun.
struct stop_order {
    order_target target;
    workflow::run_name run;
};

/// Look at a worker and, with a lease, keep what runs on it alive.
struct hold_order {
    order_target target;
    std::optional<worker_time> lease_until;
    std::uint64_t forget_ends_to = 0; ///< Ends up to this number have been recorded.
    core::milliseconds wait{0};       ///< How long the worker may wait for an end before it answers.
};

/// Set the share at which a task works.
struct pace_order {
    order_target target;
    workflow::run_name run;
    std::uint32_t percent = 100;
};

/// Ask which workers may run a step.
struct advice_order {
    workflow::step_name step;
    std::vector<core::worker_id> workers;
    core::milliseconds limit{0};
};

/// What became of an order to start, stop or pace.
enum class order_fate : std::uint8_t {
    done,            ///< Carried out, now or before.
    fenced,          ///< The worker has seen a higher token.
    superseded,      ///< The run is not higher than one that ended there.
    too_late,        ///< The lease in the order had lapsed.
    no_room,         ///< The worker says that it does not fit.
    ticket_rejected, ///< The ticket does not hold.
    unhealthy,       ///< The worker is not well and did nothing.
    other_life,      ///< The worker has started again.
    invalid,         ///< The worker cannot read the order.
    not_sent,        ///< It never left this host.
    unknown,         ///< No answer: it may be carried out, also later.
};

/// The answer to an order.
struct order_reply {
    order_fate fate = order_fate::unknown;
};

/// One row of what runs on a worker.
struct running_row {
    workflow::run_name run;
    workflow::checkpoint_id checkpoint;
    std::uint32_t percent = 100; ///< The share at which it works.
    double load = 0; ///< Of a long-running task the tail latency in ms, of others the processors in use.
};

/// How a run ended.
enum class run_end : std::uint8_t { done, failed, stopped, lapsed, broken, alone };

/// One row of what has ended on a worker.
struct ended_row {
    std::uint64_t number = 0; ///< Counts the ends in one life of the worker, from 1.
    workflow::run_name run;
    run_end how = run_end::failed;
    workflow::checkpoint_id checkpoint;
};

/// The answer to a hold.
struct hold_reply {
    bool answered = false;
    core::steady_time received_at; ///< When the answer arrived at this host.
    bool fenced = false;           ///< Answered, and the worker has seen a higher token.
    bool other_life = false;       ///< Answered by another life of the worker.
    std::optional<life_id> life;   ///< That answered, where the worker tells.
    worker_time clock{0};
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

/// A worker that may run a step, with the proof.
struct ticket_row {
    core::worker_id worker;
    ticket_id ticket;
};

/// The answer to a question for advice.
struct advice_reply {
    bool answered = false;
    std::vector<ticket_row> allowed;
    core::milliseconds lifetime{0}; ///< Of the tickets.
};

/// How the dispatcher reaches workers and the advisory service. Each hook returns at once; the reply comes
/// back as a call of the dispatcher.
struct dispatch_hooks {
    std::function<void(const start_order&)> start;
    std::function<void(const stop_order&)> stop;
    std::function<void(const hold_order&)> hold;
    std::function<void(const pace_order&)> pace;
    std::function<void(const advice_order&)> advise;
};

/// @param fate a fate.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(order_fate fate);

/// @param how an end.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(run_end how);

} // namespace rattanmount::dispatch
