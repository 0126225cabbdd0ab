#pragma once

#include "app/command_hooks.h"

namespace rattanmount::app {

/// Runs the command that the command line names; docs/CLI.md describes the commands.
/// @param argc number of arguments, including the program's name.
/// @param argv the arguments.
/// @param hooks access to the process and to the hosts that the commands can run.
/// @return the exit code of the process, see exit_code.
[[nodiscard]] int run_command(int argc, const char* const* argv, const command_hooks& hooks);

} // namespace rattanmount::app
