#pragma once

#include "app/exit_code.h"
#include "core/calls.h"

#include <string>

namespace rattanmount::app {

/// @param id the id of the job.
/// @param answer the cell's answer.
/// @return a readable description of one or more lines.
[[nodiscard]] std::string describe(const core::job_id& id, const core::job_answer& answer);

/// @param answer the answer to submit or status.
/// @return the exit code that reports it.
[[nodiscard]] exit_code exit_code_of(const core::job_answer& answer);

/// @param result the outcome of a job or quick request.
/// @return the exit code that reports it.
[[nodiscard]] exit_code exit_code_of(core::outcome result);

} // namespace rattanmount::app
