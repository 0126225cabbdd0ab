#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `serve`: reads settings and runs a host of a cell on the users' platform until it is stopped.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments or the settings are not valid.
[[nodiscard]] exit_code run_serve(const command_call& call);

} // namespace rattanmount::app
