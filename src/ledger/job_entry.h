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

/// One task of a job as the shard's stream has it.
struct task_entry {
    core::task_phase phase = core::task_phase::waiting;
    std::uint32_t attempt = 0; ///< The last attempt recorded; 0: none.
    std::string place;         ///< Where the last attempt was started; empty once the job has ended.
    core::system_time started_at;
    std::uint32_t failures = 0; ///< Attempts that ended as failed or lost.
    std::optional<core::attempt_end> last_end;
    std::string last_reason;

    friend bool operator==(const task_entry&, const task_entry&) = default;
};

/// One job as the shard's stream has it. A value type, owned by the shard's fold.
struct job_entry {
    core::job_spec spec;
    core::system_time accepted_at;
    std::vector<task_entry> tasks; ///< As many as the spec names.
    bool cancelled = false;
    std::optional<core::outcome> ended; ///< Empty until the job is over for good.
    std::string reason;
    core::system_time ended_at;
    std::optional<core::shard_id> moved_to; ///< The shard that it was handed to; this one no longer decides.
    bool move_confirmed = false;
    /// The hash of the payload, where that is kept no longer; `spec.payload` is then empty.
    std::optional<std::uint64_t> dropped_payload;

    /// Tells a repeat of this job's request from another request under the same key.
    /// @param request what a caller asks for.
    /// @return whether it is what this job was accepted for, its payload included.
    [[nodiscard]] bool matches(const core::job_spec& request) const;

    /// Keeps only the hash of the payload.
    void drop_payload();

    friend bool operator==(const job_entry&, const job_entry&) = default;
};

} // namespace rattanmount::ledger
