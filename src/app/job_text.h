#pragma once

#include "app/exit_code.h"
#include "core/calls.h"

#include <string>

namespace rattanmount::app {

/// @param id the job that was asked about.
/// @param answer what the cell answered.
/// @return a few lines for people.
[[nodiscard]] std::string describe(const core::job_id& id, const core::job_answer& answer);

/// @param answer the answer to submit or status.
/// @return the exit code for it.
[[nodiscard]] exit_code exit_code_of(const core::job_answer& answer);

/// @param result an outcome.
/// @return the exit code for it.
[[nodiscard]] exit_code exit_code_of(core::outcome result);

} // namespace rattanmount::app
