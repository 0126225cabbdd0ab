#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `timeline`: gathers the events of all entry hosts and shows them in one order.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error where the arguments are not valid or a call gives no answer.
[[nodiscard]] exit_code run_timeline(const command_call& call);

} // namespace rattanmount::app
