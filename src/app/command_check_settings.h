#pragma once

#include "app/command_arguments.h"
#include "app/exit_code.h"

namespace rattanmount::app {

/// The command `check-settings`: lists all errors in a settings file.
/// @param call the arguments and hooks.
/// @return the exit code.
/// @throws core::error if the arguments are not valid.
[[nodiscard]] exit_code run_check_settings(const command_call& call);

} // namespace rattanmount::app
