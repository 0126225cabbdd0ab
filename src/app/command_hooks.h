#pragma once

#include "core/time.h"
#include "settings/cell_host_settings.h"
#include "settings/host_settings.h"

#include <functional>
#include <string>
#include <string_view>

namespace rattanmount::app {

/// The connections of the command line to the operating system and to the hosts that it can run.
///
/// Tests supply their own. Owned by the caller of run_command(); called only on the thread that called it.
struct command_hooks {
    /// Configures logging, runs an entry host until it is stopped, and returns the exit code of the process.
    std::function<int(const settings::host_settings&)> run_entry;
    /// Like run_entry, for a host of a cell on the users' platform.
    std::function<int(const settings::cell_host_settings&)> run_serve = {};
    /// Returns the value of an environment variable, or "" if it is not set.
    std::function<std::string(const std::string& name)> environment;
    std::function<void(std::string_view)> print;       ///< Writes to standard output.
    std::function<void(std::string_view)> print_error; ///< Writes to standard error.
    std::function<core::steady_time()> now;
    std::function<void(core::milliseconds)> sleep; ///< Blocks the calling thread.
};

/// @param run_entry runs an entry host.
/// @param run_serve runs a host of a cell on the users' platform.
/// @return hooks that use this process's environment, standard streams and clock.
[[nodiscard]] command_hooks
make_process_hooks(std::function<int(const settings::host_settings&)> run_entry,
                   std::function<int(const settings::cell_host_settings&)> run_serve);

} // namespace rattanmount::app
