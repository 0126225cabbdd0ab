#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `cancel`: cancels a job.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid or a call is not answered.
[[nodiscard]] exit_code run_cancel(const command_call& call);

} // namespace rattanmount::app
