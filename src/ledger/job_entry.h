#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::ledger {

/// The recorded state of one task of a job.
struct task_entry {
    core::task_phase phase = core::task_phase::waiting;
    std::uint32_t attempt = 0; ///< Number of the last recorded attempt; 0 if there is none.
    std::string place;         ///< Worker or executor of the last attempt; empty once the job has ended.
    core::system_time started_at;
    std::uint32_t failures = 0; ///< Number of attempts that ended as failed or lost.
    std::optional<core::attempt_end> last_end;
    std::string last_reason;

    friend bool operator==(const task_entry&, const task_entry&) = default;
};

/// The recorded state of one job. A value type, owned by the shard's state machine.
struct job_entry {
    core::job_spec spec;
    core::system_time accepted_at;
    std::vector<task_entry> tasks; ///< One element per task of the spec.
    bool cancelled = false;
    std::optional<core::outcome> ended; ///< The final outcome; empty until the job has ended.
    std::string reason;
    core::system_time ended_at;
    /// The shard that the job was moved to and that decides about it now; empty if not moved.
    std::optional<core::shard_id> moved_to;
    bool move_confirmed = false;
    /// The hash of the payload, if the payload itself was dropped; `spec.payload` is empty then.
    std::optional<std::uint64_t> payload_hash;

    /// Distinguishes a retry of this job's request from a different request with the same key.
    /// @return whether the request equals the one that this job was accepted for, including the payload.
    [[nodiscard]] bool matches(const core::job_spec& request) const;

    /// Replaces the payload by its hash.
    void drop_payload();

    friend bool operator==(const job_entry&, const job_entry&) = default;
};

} // namespace rattanmount::ledger
