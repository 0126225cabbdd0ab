#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/outcome.h"
#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::core {

/// The state of a request when its answer was given.
enum class answer_state : std::uint8_t {
    accepted, ///< Recorded in the log; the outcome is not known yet.
    ended,    ///< Ended, with an outcome.
    refused,  ///< Rejected: it did not run and will not run because of this call.
    unsettled ///< It may or may not have been recorded; the caller queries or retries with the same key.
};

/// The answer to a submit, status or cancel call.
struct job_answer {
    answer_state state = answer_state::unsettled;
    outcome result = outcome::unknown; ///< Meaningful if state is ended, refused or unsettled.
    std::string reason;                ///< Plain text: why it was refused, or the reason for the outcome.
    std::optional<job_status> status;  ///< The job's status as reported by the owner of its shard.
};

/// A synchronous request: an executor serves it while the caller waits.
struct quick_request {
    job_id id;
    pool_id pool;
    service_id service;
    bool idempotent = true;
    milliseconds limit{0}; ///< How long the caller waits; 0: the pool's limit applies.
    std::string body;
};

/// The answer to a quick request. The body is either complete or empty, never truncated.
struct quick_answer {
    outcome result = outcome::unknown;
    std::string reason;
    std::string body;
    executor_id executor; ///< The executor that served it; empty if none did.
};

/// The answer to the operator who applies a release note: whether it is in force on the live entry hosts.
/// release::note_result is the decision of one policy registry.
enum class note_verdict : std::uint8_t {
    accepted, ///< In force on every live entry host.
    pending,  ///< Committed in the log, but not yet in force on the hosts in note_answer::missing.
    refused,  ///< Invalid, or a conflicting note was committed first; no part of it is in force.
    unsettled ///< The outcome of its append is not known yet; repeat the call with the same note.
};

struct note_answer {
    note_verdict verdict = note_verdict::unsettled;
    std::string reason;
    std::vector<host_id> missing; ///< If pending: the hosts on which it is not in force yet.
};

/// The status of one entry host as another entry host sees it.
struct host_status {
    host_id host;
    std::string address; ///< Where it accepts calls from callers; empty if no heartbeat has been received.
    data_centre_id data_centre;
    bool live = false;
    bool leaving = false;
    log_offset config_offset; ///< The offset up to which it has applied the configuration stream.
    std::vector<shard_id> shards;
};

/// The calls that an entry host serves for callers and operators, as typed hooks.
///
/// The HTTP front end and the inner protocol both decode their messages into these calls; another front
/// end needs no other interface. The entry host sets the hooks. Any traffic thread may call them, and a
/// call blocks for at most the given limit. Hooks return by value and throw only core::invalid_argument.
struct cell_calls {
    std::function<job_answer(const job_spec&, milliseconds limit)> submit;
    std::function<job_answer(const job_id&, milliseconds limit)> status;
    std::function<job_answer(const job_id&, milliseconds limit)> cancel;
    std::function<std::vector<std::string>(const job_id&, milliseconds limit)> explain;
    std::function<quick_answer(const quick_request&)> quick;
    /// Applies a release note, given as the JSON text that the operator wrote.
    std::function<note_answer(const std::string& note, milliseconds limit)> apply_note;
    /// Returns the policies in force, as JSON text.
    std::function<std::string()> show_notes;
    std::function<std::vector<host_status>()> hosts;
    /// Returns the events of this host as JSON lines, oldest first.
    std::function<std::string()> timeline;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    std::function<bool()> ready;
};

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(answer_state state);

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(note_verdict verdict);

} // namespace rattanmount::core
