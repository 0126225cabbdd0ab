#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `quick`: sends a quick request and prints its answer.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid or a call is not answered.
[[nodiscard]] exit_code run_quick(const command_call& call);

} // namespace rattanmount::app
