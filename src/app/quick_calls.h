#pragma once

#include "cell/peer_calls.h"
#include "control/control_thread.h"
#include "core/calls.h"
#include "core/time.h"
#include "platform/executor_service.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace rattanmount::app {

struct quick_calls_options {
    core::incarnation_id incarnation; ///< Part of every correlation id.
    core::milliseconds attempt_timeout{500};
    std::uint32_t max_attempts = 3;
    core::milliseconds slot_pause{5};      ///< Before a slot is asked for again where none is free.
    core::milliseconds record_limit{2000}; ///< How long the outcome of a payment may take to be recorded.
    cell::peer_connector connect;
    platform::executor_service executors;
};

/// Serves quick requests: gets a slot, sends the request straight to its executor, and answers the caller.
///
/// A request that is not idempotent is sent once by the owner of its key's shard, after its intent is
/// recorded. Others are tried again only where the attempt before certainly did not run. Owned by the entry
/// host; any traffic thread may call, and is blocked up to the request's limit.
class quick_calls {
public:
    /// @param options how it reaches peers and executors.
    /// @param control the control thread; must outlive it.
    quick_calls(quick_calls_options options, control::control_thread& control);

    /// @param request what the caller asks for.
    /// @return the whole answer, or why there is none.
    /// @throws core::invalid_argument where a field is not valid.
    core::quick_answer call(const core::quick_request& request);

    /// Serves a payment whose key's shard this host should own.
    /// @param shard the shard.
    /// @param request a request that is not idempotent.
    /// @return owner false where this host does not own the shard: nothing has happened.
    cell::owner_quick_answer pay_as_owner(core::shard_id shard, const core::quick_request& request);

private:
    /// A slot that was set aside, here or at a peer.
    struct held_slot {
        core::shard_id shard;
        std::uint64_t grant = 0;
        core::executor_id executor;
        core::endpoint address;
        core::endpoint peer; ///< Port 0: this host counts it.
    };
    struct slot_answer {
        std::optional<held_slot> slot;
        bool refused = false; ///< No slot will ever be given to this request.
        std::string reason;
    };

    core::quick_answer serve(const core::quick_request& request, core::steady_time deadline);
    core::quick_answer pay(const core::quick_request& request, core::steady_time deadline);
    slot_answer wait_for_slot(const core::quick_request& request, core::steady_time deadline);
    slot_answer find_slot(const core::quick_request& request, core::steady_time deadline);
    void release(const held_slot& slot, cell::slot_release how);
    core::quick_answer send(const core::quick_request& request, core::steady_time deadline, bool& may_retry);
    core::steady_time deadline_of(const core::quick_request& request);

    quick_calls_options options;
    control::control_thread& control;
    std::atomic<std::uint64_t> next_correlation = 1;
};

} // namespace rattanmount::app
