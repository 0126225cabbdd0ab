#pragma once

#include <string_view>

namespace rattanmount::app {

/// What the program tells the shell at its end.
enum class exit_code : int {
    ok = 0,          ///< Completed, accepted, or done.
    failed = 1,      ///< It ran and failed, or the program met a fault of its own.
    invalid = 2,     ///< The command line, a file or the request is not valid.
    not_run = 3,     ///< It did not run, or was refused.
    unsettled = 4,   ///< Its fate is not known, or it had not ended within the limit.
    unreachable = 5, ///< No entry host could be reached.
};

/// The codes for people, as every --help ends.
inline constexpr std::string_view exit_code_help =
    "Exit codes:\n"
    "  0  completed, accepted, or done\n"
    "  1  failed\n"
    "  2  the command line, a file or the request is not valid\n"
    "  3  did not run, or refused\n"
    "  4  fate not known, or not ended within the limit\n"
    "  5  no entry host could be reached\n";

} // namespace rattanmount::app
