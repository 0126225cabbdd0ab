#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// @param journal the entries of all workers.
/// @param job "team/key".
/// @return how many attempts of the job's tasks were started.
std::size_t starts_of(const std::vector<nlohmann::json>& journal, const std::string& job);

/// Checks the promises that hold at all times, by the stand-ins' own journals: no capacity exceeded, no task
/// in two places at once.
void check_invariants(const std::vector<nlohmann::json>& workers,
                      const std::vector<nlohmann::json>& executors);

} // namespace rattanmount::tests
