#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// A request and the answers that its caller got, to be checked against the journals.
struct caller_record {
    std::string id; ///< "team/key".
    bool idempotent = true;
    bool accepted = false;  ///< The job was accepted.
    bool ended = false;     ///< The job was accepted and has ended.
    bool completed = false; ///< The quick request was completed.
    bool not_run = false;   ///< The caller was told that the request did not run.
    std::string answer;     ///< The body that the executor returned for a quick request.
};

/// Returns the number of task attempts of a job that were started.
/// @param journal the entries of all workers.
/// @param job "team/key".
std::size_t count_task_starts(const std::vector<nlohmann::json>& journal, const std::string& job);

/// Returns the number of times that executors started a quick request.
/// @param journal the entries of all executors.
/// @param id "team/key".
std::size_t count_request_starts(const std::vector<nlohmann::json>& journal, const std::string& id);

/// Checks the invariants against the journals of the stand-ins: no call exceeded a capacity, and no two
/// attempts of a task ran at the same time.
void check_invariants(const std::vector<nlohmann::json>& workers,
                      const std::vector<nlohmann::json>& executors);

/// Checks the answers to callers against the journals: no non-idempotent request ran twice, no request that
/// was reported as not run did run, each answer belongs to its own request, and each accepted job has ended.
void check_caller_records(const std::vector<caller_record>& records,
                          const std::vector<nlohmann::json>& workers,
                          const std::vector<nlohmann::json>& executors);

/// Checks that a leaving target gets no new work later than 3 s after the fleet list first showed it as
/// leaving.
/// @param journal the entries of all workers or executors.
/// @param target the name of the target.
/// @param leaving_since_ms when the list first showed the target as leaving, in milliseconds since the Unix
/// epoch.
void check_no_new_work(const std::vector<nlohmann::json>& journal, const std::string& target,
                       std::int64_t leaving_since_ms);

} // namespace rattanmount::tests
