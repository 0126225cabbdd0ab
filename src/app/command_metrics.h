#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `metrics`: prints the counters of an entry host.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid or a call is not answered.
[[nodiscard]] exit_code run_metrics(const command_call& call);

} // namespace rattanmount::app
