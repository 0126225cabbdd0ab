#pragma once

#include <string_view>

namespace rattanmount::app {

/// The exit code of the process.
enum class exit_code : int {
    ok = 0,          ///< The job or request completed or was accepted, or the command succeeded.
    failed = 1,      ///< The job or request ran and failed, or the program had an internal error.
    invalid = 2,     ///< The command line, a file or the request is not valid.
    not_run = 3,     ///< The job, request or note did not run or was refused.
    unsettled = 4,   ///< The outcome is not known, or not final within the limit.
    unreachable = 5, ///< No entry host could be reached.
};

/// Describes the exit codes; the last part of every help text.
inline constexpr std::string_view exit_code_help =
    "Exit codes:\n"
    "  0  completed, accepted, or done\n"
    "  1  failed\n"
    "  2  the command line, a file or the request is not valid\n"
    "  3  did not run, or refused\n"
    "  4  fate not known, or not ended within the limit\n"
    "  5  no entry host could be reached\n";

} // namespace rattanmount::app
