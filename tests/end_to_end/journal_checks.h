#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// What a caller asked for and was told, to be judged by the journals.
struct caller_record {
    std::string id; ///< "team/key".
    bool idempotent = true;
    bool accepted = false;  ///< A job was accepted.
    bool ended = false;     ///< An accepted job was seen to end.
    bool completed = false; ///< A quick request was answered.
    bool not_run = false;   ///< Told that it did not run.
    std::string answer;     ///< The body of a quick request's answer.
};

/// @param journal the entries of all workers.
/// @param job "team/key".
/// @return how many attempts of the job's tasks were started.
std::size_t starts_of(const std::vector<nlohmann::json>& journal, const std::string& job);

/// @param journal the entries of all executors.
/// @param id "team/key".
/// @return how many times an executor began the request.
std::size_t requests_run(const std::vector<nlohmann::json>& journal, const std::string& id);

/// Checks the promises that hold at all times, by the stand-ins' own journals: no capacity exceeded, no task
/// in two places at once.
void check_invariants(const std::vector<nlohmann::json>& workers,
                      const std::vector<nlohmann::json>& executors);

/// Checks what callers were told against the journals: no non-idempotent request ran twice, nothing ran that
/// was told not run, each answer belongs to its own request, no accepted job is lost.
void check_records(const std::vector<caller_record>& records, const std::vector<nlohmann::json>& workers,
                   const std::vector<nlohmann::json>& executors);

/// Checks that a leaving target gets no new work more than 3 s after the fleet list showed it so.
/// @param journal the entries of all workers or executors.
/// @param target its name.
/// @param shown when the list first showed it as leaving, in ms since 1970.
void check_no_new_work(const std::vector<nlohmann::json>& journal, const std::string& target,
                       std::int64_t shown);

} // namespace rattanmount::tests
