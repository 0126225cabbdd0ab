#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `trace`: prints the history of one job from the collected logs of all hosts, in order of time.
/// @param call the arguments and hooks.
/// @return the exit code; `failed` if no log line mentions the job.
/// @throws core::error if the arguments are not valid or a file cannot be read.
[[nodiscard]] exit_code run_trace(const command_call& call);

} // namespace rattanmount::app
