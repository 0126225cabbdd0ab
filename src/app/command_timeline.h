#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `timeline`: reads the events of all entry hosts and prints them in one common order.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid or a call is not answered.
[[nodiscard]] exit_code run_timeline(const command_call& call);

} // namespace rattanmount::app
