#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `entry`: reads settings and runs an entry host until it is stopped.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments or the settings are not valid, or the program cannot run a host.
[[nodiscard]] exit_code run_entry(const command_call& call);

} // namespace rattanmount::app
