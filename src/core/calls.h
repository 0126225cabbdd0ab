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

/// Where in the life of a request an answer was given.
enum class answer_state : std::uint8_t {
    accepted, ///< Recorded in the log; the outcome comes later.
    ended,    ///< Over, with an outcome.
    refused,  ///< Not taken: it did not run and will not run under this call.
    unsettled ///< It may or may not have been recorded; ask again by its key.
};

/// The answer to submit, status and cancel.
struct job_answer {
    answer_state state = answer_state::unsettled;
    outcome result = outcome::unknown; ///< Meaningful unless state is accepted.
    std::string reason;                ///< Plain text: why refused, or why the outcome is what it is.
    std::optional<job_status> status;  ///< The job as the owner of its shard knows it.
};

/// A request that a caller waits for and that an executor serves.
struct quick_request {
    job_id id;
    pool_id pool;
    service_id service;
    bool idempotent = true;
    milliseconds limit{0}; ///< How long the caller waits; 0: the pool's limit.
    std::string body;
};

/// The answer to a quick request. Holds the whole body or none of it.
struct quick_answer {
    outcome result = outcome::unknown;
    std::string reason;
    std::string body;
    executor_id executor; ///< Who served it, where one did.
};

/// What became of a release note.
enum class note_verdict : std::uint8_t {
    accepted, ///< In force on every live entry host.
    pending,  ///< In the log and won, but not yet in force on the hosts named.
    refused,  ///< Lost a race or is not valid; nothing of it is in force.
    unsettled ///< Its append has no known fate yet; repeat the call with the same note.
};

struct note_answer {
    note_verdict verdict = note_verdict::unsettled;
    std::string reason;
    std::vector<host_id> missing; ///< For pending: the hosts where it is not in force.
};

/// One entry host as another one sees it.
struct host_status {
    host_id host;
    std::string address; ///< Where it takes calls of callers; empty where it has not been heard.
    data_centre_id data_centre;
    bool live = false;
    bool leaving = false;
    log_offset config_offset; ///< How much of the configuration stream it has applied.
    std::vector<shard_id> shards;
};

/// Everything that a caller or an operator can ask of one entry host, as typed hooks.
///
/// The HTTP front end and the inner protocol both decode their messages into these calls, so another
/// front end needs nothing else. The entry host sets the hooks; any traffic thread may call them and
/// may be blocked up to the given limit. Hooks answer by value and throw only core::invalid_argument.
struct cell_calls {
    std::function<job_answer(const job_spec&, milliseconds limit)> submit;
    std::function<job_answer(const job_id&, milliseconds limit)> status;
    std::function<job_answer(const job_id&, milliseconds limit)> cancel;
    std::function<std::vector<std::string>(const job_id&, milliseconds limit)> explain;
    std::function<quick_answer(const quick_request&)> quick;
    /// Takes a release note as the JSON text that the operator wrote.
    std::function<note_answer(const std::string& note, milliseconds limit)> apply_note;
    /// Answers with the policies in force, as JSON text.
    std::function<std::string()> show_notes;
    std::function<std::vector<host_status>()> hosts;
    /// Events of this host as JSON lines, oldest first.
    std::function<std::string()> timeline;
    /// Counters in the text form that the usual collectors read.
    std::function<std::string()> metrics;
    std::function<bool()> ready;
};

/// @param state a state.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(answer_state state);

/// @param verdict a verdict.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(note_verdict verdict);

} // namespace rattanmount::core
