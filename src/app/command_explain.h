#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `explain`: prints what a job is waiting for.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid or a call is not answered.
[[nodiscard]] exit_code run_explain(const command_call& call);

} // namespace rattanmount::app
