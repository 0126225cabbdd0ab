#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `status`: tells where a job stands.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error where the arguments are not valid or a call gives no answer.
[[nodiscard]] exit_code run_status(const command_call& call);

} // namespace rattanmount::app
