#pragma once

#include "cell/peer_calls.h"
#include "control/control_thread.h"
#include "core/calls.h"
#include "core/time.h"

#include <functional>

namespace rattanmount::app {

struct job_calls_options {
    core::milliseconds retry_pause{50}; ///< Before the owner of a shard is looked for again.
    cell::peer_connector connect;       ///< Reaches other entry hosts.
};

/// Carries calls on jobs to the owner of the job's shard, wherever it is, and tries again while the shard
/// changes hands.
///
/// Safe to repeat because a job's key makes every repeat the same request. Owned by the entry host; any
/// traffic thread may call, and is blocked up to the call's limit.
class job_calls {
public:
    /// @param options how it reaches peers.
    /// @param control the control thread; must outlive it.
    job_calls(job_calls_options options, control::control_thread& control);

    /// @param spec a job whose fields have been checked.
    /// @param limit how long the caller waits.
    /// @return accepted, ended or refused as the owner says; unsettled where its fate is not known in time.
    core::job_answer submit(const core::job_spec& spec, core::milliseconds limit);
    core::job_answer status(const core::job_id& job, core::milliseconds limit);
    core::job_answer cancel(const core::job_id& job, core::milliseconds limit);
    std::vector<std::string> explain(const core::job_id& job, core::milliseconds limit);

private:
    /// One way to put the call: to this host's own control thread or to a peer.
    struct call_forms {
        std::function<void(control::host_control&, core::shard_id, core::steady_time,
                           control::owner_responder)>
            local;
        std::function<cell::owner_answer(const cell::peer_calls&, core::shard_id, core::milliseconds)> remote;
        bool read_only = true; ///< The home shard's answer will do while the job is on its way to another.
    };

    cell::owner_answer reach_owner(const core::job_id& job, core::milliseconds limit,
                                   const call_forms& forms);

    job_calls_options options;
    control::control_thread& control;
};

} // namespace rattanmount::app
