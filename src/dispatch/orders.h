#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "workflow/job_request.h"
#include "workflow/task_name.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::dispatch {

using workflow::worker_incarnation_id;
/// Proves to a worker that a step is permitted to run on it.
using ticket_id = core::text_id<struct ticket_id_tag>;
/// A time on the clock of one incarnation of a worker.
using worker_time = core::milliseconds;

/// The authority of an order. A worker carries out no order with a token lower than the highest that its
/// present incarnation has seen.
///
/// Workers restart under their names, and a new incarnation cannot tell an order that was meant for a former
/// one from one that is meant for itself. So a leader raises the token of a worker when it finds that the
/// worker has restarted or is listed again: the orders that it sent before have lower tokens.
struct fencing_token {
    core::epoch_id epoch;     ///< The epoch in which the sender leads.
    std::uint64_t raised = 0; ///< How many tokens it had raised in this epoch.

    friend auto operator<=>(const fencing_token&, const fencing_token&) = default;
};

/// An entry of the platform's list of workers.
struct worker_entry {
    core::worker_id worker;
    worker_incarnation_id incarnation;
    core::endpoint address;
    core::service_id service;
    core::data_centre_id data_centre;
    core::rack_id rack;
    std::vector<workflow::worker_label> labels;
    core::resources capacity;
    bool draining = false;
    core::milliseconds drain_remaining{0}; ///< If it drains, the least time until it leaves.
};

/// The worker that an order is for, and the authority of the sender.
struct order_target {
    core::worker_id worker;
    worker_incarnation_id incarnation;
    core::endpoint address;
    dispatch::fencing_token fencing_token;
};

/// Requests the start of a run.
struct start_order {
    order_target target;
    workflow::run_name run;
    std::string payload;
    worker_time lease_until{0};
    workflow::checkpoint_id checkpoint;
    ticket_id ticket;
    core::milliseconds timeout{0}; ///< Timeout of the answer.
    core::steady_time sent_at;     ///< When the dispatcher sent it.
};

/// Requests the stop of a run. A run that has not begun is prevented from starting.
struct stop_order {
    order_target target;
    workflow::run_name run;
    core::steady_time sent_at; ///< When the dispatcher sent it.
};

/// Polls a worker for its running and ended runs and, if `lease_until` is set, extends the lease of its runs.
/// The worker may delay the answer until a run ends (long poll).
struct hold_order {
    order_target target;
    std::optional<worker_time> lease_until;
    std::uint64_t acknowledged_ends =
        0;                      ///< Ends up to this number are recorded; the worker may discard them.
    core::milliseconds wait{0}; ///< Longest time that the worker waits for a run to end before it answers.
};

/// Sets the share of its full speed at which a run works. The dispatcher does not send it yet.
struct pace_order {
    order_target target;
    workflow::run_name run;
    std::uint32_t percent = 100;
};

/// Asks the advisory service which of the workers may run a step.
struct advice_order {
    workflow::step_name step;
    std::vector<core::worker_id> workers;
    core::milliseconds timeout{0}; ///< Timeout of the answer.
};

/// Outcome of a start, stop or pace order.
enum class order_outcome : std::uint8_t {
    done,              ///< Carried out now or by an earlier try.
    fenced,            ///< The worker has seen a higher fencing token.
    superseded,        ///< A run of the task with the same or a higher number has ended or was stopped there.
    too_late,          ///< The lease in the order had expired.
    no_room,           ///< The worker reports that the run does not fit.
    ticket_rejected,   ///< The ticket is not valid.
    unhealthy,         ///< The worker is unhealthy and did nothing.
    other_incarnation, ///< The worker has restarted.
    invalid,           ///< The worker cannot read the order.
    not_sent,          ///< The order was not sent.
    unknown,           ///< No answer; the order may have been carried out, or may be later.
};

/// The answer to an order.
struct order_reply {
    order_outcome outcome = order_outcome::unknown;
    std::optional<worker_time> clock; ///< The worker's clock at the time of its answer, if it states one.
};

/// A running run as reported by its worker.
struct reported_run {
    workflow::run_name run;
    workflow::checkpoint_id checkpoint;
    std::uint32_t percent = 100; ///< Share of its full speed at which it works.
    double load = 0; ///< Tail latency in ms for a long-running task, number of processors in use for others.
};

/// How a run ended, as reported by its worker.
enum class run_outcome : std::uint8_t { done, failed, stopped, lapsed, broken, alone };

/// An ended run as reported by its worker.
struct reported_end {
    std::uint64_t number = 0; ///< Sequence number of the end within one incarnation of the worker, from 1.
    workflow::run_name run;
    run_outcome outcome = run_outcome::failed;
    workflow::checkpoint_id checkpoint;
};

/// The answer to a hold.
struct hold_reply {
    bool answered = false;
    core::steady_time received_at;  ///< When the answer arrived at this host.
    bool fenced = false;            ///< The worker answered that it has seen a higher fencing token.
    bool other_incarnation = false; ///< Another incarnation of the worker answered.
    std::optional<worker_incarnation_id>
        incarnation; ///< Incarnation that answered, if the worker reports it.
    worker_time clock{0};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// Whether `ended` certainly has all ends that the worker keeps. A worker may list a part of them; it
    /// lists the others once these are acknowledged.
    bool lists_all_ends = false;
};

/// A worker that is permitted to run a step, with its ticket.
struct worker_ticket {
    core::worker_id worker;
    ticket_id ticket;
};

/// The answer to an advice request.
struct advice_reply {
    bool answered = false;
    std::vector<worker_ticket> allowed;
    core::milliseconds lifetime{0}; ///< Lifetime of the tickets.
};

/// Functions that send orders to workers and requests to the advisory service. Each returns without waiting;
/// the owner passes the reply to the dispatcher.
struct dispatch_hooks {
    std::function<void(const start_order&)> start;
    std::function<void(const stop_order&)> stop;
    std::function<void(const hold_order&)> hold;
    std::function<void(const pace_order&)> pace;
    std::function<void(const advice_order&)> advise;
};

/// @param outcome an outcome.
/// @return its name.
[[nodiscard]] std::string_view to_string(order_outcome outcome);

/// @param outcome an outcome.
/// @return its name.
[[nodiscard]] std::string_view to_string(run_outcome outcome);

} // namespace rattanmount::dispatch
