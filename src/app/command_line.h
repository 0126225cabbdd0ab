#pragma once

#include "app/command_hooks.h"

namespace rattanmount::app {

/// Runs the command that the command line names; docs/CLI.md describes them.
/// @param argc number of arguments, the program's name included.
/// @param argv the arguments.
/// @param hooks what the commands reach the outside through.
/// @return the exit code of the process, see exit_code.
[[nodiscard]] int run_command(int argc, const char* const* argv, const command_hooks& hooks);

} // namespace rattanmount::app
