#pragma once

#include "cell/peer_calls.h"
#include "control/host_control.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/time.h"
#include "release/release_note.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// One submitted job and the answers that its callers got.
struct submitted_job {
    core::job_spec spec;
    std::vector<core::job_answer> answers;
    bool accepted = false;
    bool cancelled = false;
    bool not_run = false; ///< The caller was told that the job did not run.
};

/// Access to the hosts of a simulated_cell.
struct simulated_callers_hooks {
    std::function<core::steady_time()> now;
    /// Returns a host's control state, or nullptr if the host is not alive.
    std::function<control::host_control*(int host)> host;
    std::function<int()> host_count;
    std::function<int(const core::endpoint& inner)> host_at;
    std::function<core::milliseconds()> delay; ///< Returns a random delay of a message.
    /// Runs work on a host's present incarnation after a delay.
    std::function<void(int host, core::milliseconds delay, std::function<void(control::host_control&)> work)>
        on_host;
};

/// The callers and operators of a simulated_cell, and what they were told.
///
/// Owned by the simulated_cell; used by the thread of the test.
class simulated_callers {
public:
    explicit simulated_callers(simulated_callers_hooks hooks);
    ~simulated_callers() = default;
    simulated_callers(const simulated_callers&) = delete;
    simulated_callers& operator=(const simulated_callers&) = delete;

    /// Submits a job through a host, which sends it to the owner of its shard.
    void submit(int host, const core::job_spec& spec);
    /// Cancels a job if the host owns its shard.
    void cancel(int host, const core::job_id& job);
    /// Submits a release note.
    /// @param respond called with the answer, unless the host ends before.
    void propose(int host, const release::release_note& note, std::function<void(core::note_answer)> respond);

    /// @return the latest answer to a status call through any live host.
    [[nodiscard]] std::optional<core::job_answer> status(const core::job_id& job) const;
    [[nodiscard]] const std::map<core::job_id, submitted_job>& jobs() const { return this->submitted; }

private:
    void record_answer(const core::job_id& job, const cell::owner_answer& answer);
    [[nodiscard]] core::job_answer follow_move(const core::job_id& job, cell::owner_answer answer) const;

    simulated_callers_hooks hooks;
    std::map<core::job_id, submitted_job> submitted;
};

/// @return a batch job of the tests' team.
core::job_spec batch_job(const std::string& key, core::milliseconds run_time, std::uint32_t tasks = 1);

} // namespace rattanmount::tests
