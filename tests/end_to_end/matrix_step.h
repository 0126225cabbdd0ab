#pragma once

#include "tests/end_to_end/cell_fixture.h"
#include "tests/end_to_end/journal_checks.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// The requests of a step and the answers to them.
struct step_state {
    std::string prefix;
    std::vector<caller_record> records;
};

/// A row of the matrix: a step of a job, quick request or release note, with the actions before, during and
/// after the fault.
struct matrix_step {
    std::string name;
    std::function<void(cell_fixture&, step_state&)> before;
    std::function<void(cell_fixture&, step_state&)> during;
    std::function<void(cell_fixture&, step_state&)> after;
};

/// @return all rows of the matrix.
[[nodiscard]] std::vector<matrix_step> matrix_steps();

/// @return the key of a numbered request of the step.
[[nodiscard]] std::string make_key(const step_state& state, int number);

/// @return the record of the request with the key, which is added if there is none. Valid until the next one
///         is added.
caller_record& find_or_add_record(step_state& state, const std::string& key);

/// Adds an answer to a submission to the record of the job.
void record_answer(caller_record& record, const http_result& answer);

/// Submits four jobs. Repeats refused submissions, as a caller would, and requires that all are accepted.
void submit_four(cell_fixture& cell, step_state& state, std::chrono::milliseconds run_time);

/// Checks that workers have started a task of every job.
void wait_for_starts(cell_fixture& cell, const step_state& state);

/// Checks that every accepted job ends, and records that it has.
void wait_for_ends(cell_fixture& cell, step_state& state);

/// Sends a quick request that runs for 20 ms, and waits for the response.
http_result send_quick_request(cell_fixture& cell, int host, const std::string& key, bool idempotent);

} // namespace rattanmount::tests
