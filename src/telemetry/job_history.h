#pragma once

#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// The log lines of all hosts that concern one job.
struct job_history {
    std::vector<std::string> lines;   ///< The lines that name the job, sorted by time.
    std::vector<std::string> missing; ///< For each expected line that was not found: what is missing and why.
};

/// Collects the log lines that concern one job.
/// @param job the job's id as it appears in the lines.
/// @param logs the contents of log files in the text format, one per host or several concatenated.
/// @return the lines; those with the same time keep the order in which they were given.
[[nodiscard]] job_history collect_job_history(const std::string& job, const std::vector<std::string>& logs);

} // namespace rattanmount::telemetry
