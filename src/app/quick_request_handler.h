#pragma once

#include "app/quick_metrics.h"
#include "cell/peer_calls.h"
#include "control/control_thread.h"
#include "core/calls.h"
#include "core/time.h"
#include "external/executor_service.h"
#include "routing/retry_budget.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace rattanmount::app {

struct quick_request_handler_options {
    core::incarnation_id incarnation;        ///< Prefix of every correlation id.
    core::milliseconds attempt_timeout{500}; ///< Timeout of an attempt that another one may follow.
    std::uint32_t max_attempts = 3;
    routing::retry_budget_options retry_budget;
    /// Delay after an attempt's deadline until its executor has certainly abandoned it.
    core::milliseconds attempt_end_margin{100};
    core::milliseconds max_peer_wait{200};   ///< How long a reservation may wait in the queue of a peer.
    core::milliseconds record_timeout{2000}; ///< For the outcome of a non-idempotent request to be recorded.
    telemetry::metrics_registry* metrics = nullptr; ///< Must be set, and outlive the handler.
    cell::peer_connector connect;                   ///< Connects to other entry hosts.
    external::executor_service executors;
};

/// Serves quick requests: reserves a slot, sends the request directly to its executor, and answers the
/// caller.
///
/// A non-idempotent request is sent at most once, by the owner of its key's shard, after the intent to send
/// it has been recorded. An idempotent request is retried only if the previous attempt has certainly ended:
/// it was refused or not sent, or its time limit has expired and a margin has passed (the executor receives
/// the limit and abandons the request when it expires). A retry budget limits retries across all requests.
/// Owned by the entry host. Any traffic thread may call it; the caller is blocked for at most the limit of
/// the request, and for a non-idempotent request up to record_timeout longer.
class quick_request_handler {
public:
    /// @param options limits, and how to reach peers and executors.
    /// @param control the control thread; must outlive this object.
    quick_request_handler(quick_request_handler_options options, control::control_thread& control);

    /// @param request the caller's request.
    /// @return the complete answer, or the reason why there is none.
    /// @throws core::invalid_argument if a field is not valid.
    core::quick_answer call(const core::quick_request& request);

    /// Serves a non-idempotent request as the owner of its key's shard.
    /// @param shard the shard of the request's key.
    /// @param request a non-idempotent request.
    /// @return the outcome; is_owner is false, and nothing has happened, if this host does not own the shard.
    cell::owner_quick_answer serve_as_owner(core::shard_id shard, const core::quick_request& request);

private:
    /// A slot of an executor that is reserved for a request, by this host or by a peer.
    struct reserved_slot {
        core::shard_id shard;
        std::uint64_t grant = 0;
        core::executor_id executor;
        core::endpoint address;
        core::endpoint peer;          ///< The peer that owns the slot; port 0 if this host owns it.
        core::steady_time deadline{}; ///< When the request must have ended.
    };
    struct slot_result {
        std::optional<reserved_slot> slot;
        bool refused = false; ///< True if repeating the reservation cannot succeed.
        std::string reason;
    };
    /// The state of a request across its attempts.
    struct request_progress {
        core::steady_time started_at{};
        core::steady_time deadline{};
        core::milliseconds executor_time{0}; ///< Total duration of the calls of executors.
        /// True once the request is sent again after an attempt that may have run.
        bool earlier_attempt_may_have_run = false;
    };
    enum class next_step : std::uint8_t {
        give_answer,    ///< The answer is final; no other attempt may follow.
        retry_now,      ///< The attempt did not run.
        retry_after_end ///< The attempt may still run or have run; the next one waits until it has ended.
    };
    struct attempt_result {
        core::quick_answer answer;
        next_step next = next_step::give_answer;
        /// For retry_after_end: when the attempt ends at the latest, without attempt_end_margin; the time of
        /// sending if the executor has already reported that it abandoned the attempt.
        core::steady_time ends_at{};
    };

    core::quick_answer serve_idempotent(const core::quick_request& request, request_progress& progress);
    core::quick_answer serve_once(const core::quick_request& request, core::steady_time deadline);
    /// Takes a retry from the budget and blocks until the previous attempt has ended.
    /// @return whether another attempt may follow.
    bool prepare_retry(const attempt_result& result, request_progress& progress);
    slot_result wait_for_slot(const core::quick_request& request, core::milliseconds attempt_limit,
                              core::steady_time deadline);
    slot_result try_reserve_slot(const core::quick_request& request, core::milliseconds attempt_limit,
                                 core::steady_time deadline);
    slot_result reserve_at_peer(const core::quick_request& request, const control::quick_route& route,
                                core::milliseconds attempt_limit, core::steady_time deadline);
    void release(const reserved_slot& slot, cell::slot_release how);
    attempt_result send(const core::quick_request& request, core::milliseconds attempt_limit,
                        request_progress& progress);
    core::steady_time deadline_of(const core::quick_request& request);

    quick_request_handler_options options;
    control::control_thread& control;
    std::atomic<std::uint64_t> next_correlation = 1;
    quick_metrics metrics;
    std::mutex budget_mutex;
    routing::retry_budget budget; ///< Guarded by budget_mutex.
};

} // namespace rattanmount::app
