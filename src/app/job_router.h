#pragma once

#include "cell/peer_calls.h"
#include "control/control_thread.h"
#include "core/calls.h"
#include "core/time.h"

#include <functional>

namespace rattanmount::app {

struct job_router_options {
    core::milliseconds owner_retry_pause{50}; ///< Delay before the owner of a shard is looked up again.
    cell::peer_connector connect;             ///< Connects to other entry hosts.
};

/// Routes job requests to the entry host that owns the job's shard, and retries while the shard has no owner
/// or its owner changes.
///
/// Retries are safe because requests with the same job key are idempotent. Owned by the entry host; any
/// traffic thread may call it, and is blocked for at most the limit of the call.
class job_router {
public:
    /// @param options how to connect to peers, and the delay between attempts.
    /// @param control the control thread; must outlive this object.
    job_router(job_router_options options, control::control_thread& control);

    /// @param spec the job.
    /// @param limit how long the caller waits.
    /// @return accepted, ended or refused, as decided by the owner; unsettled if its decision is not known
    ///         within the limit.
    /// @throws core::invalid_argument if a field is not valid or the work is a quick request.
    core::job_answer submit(const core::job_spec& spec, core::milliseconds limit);
    core::job_answer status(const core::job_id& job, core::milliseconds limit);
    core::job_answer cancel(const core::job_id& job, core::milliseconds limit);
    std::vector<std::string> explain(const core::job_id& job, core::milliseconds limit);

private:
    /// A call to the owner of a shard, in one form for this host's control thread and one for a peer.
    struct owner_call {
        std::function<void(control::host_control&, core::shard_id, core::steady_time,
                           control::owner_responder)>
            local;
        std::function<cell::owner_answer(const cell::peer_calls&, core::shard_id, core::milliseconds)> remote;
        /// Applies if the job has moved and its new shard refuses the call: true returns the answer of the
        /// home shard, false tries again until the limit. Only cancel sets false; submit uses true as well.
        bool read_only = true;
    };

    cell::owner_answer call_owner(const core::job_id& job, core::milliseconds limit, const owner_call& call);

    job_router_options options;
    control::control_thread& control;
};

} // namespace rattanmount::app
