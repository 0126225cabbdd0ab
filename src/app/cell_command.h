#pragma once

#include "app/command_arguments.h"
#include "core/time.h"
#include "front/api_client.h"

#include <cxxopts.hpp>

#include <optional>

namespace rattanmount::app {

/// The parsed arguments of a command that calls a cell, and a client for the calls.
struct cell_command {
    cxxopts::ParseResult arguments;
    cell_options cell;
    core::milliseconds call_limit{0}; ///< Time limit of one call.
    front::api_client client;
};

/// Parses the arguments of a command that calls a cell.
/// @param options the options of the command, with those of add_cell_options().
/// @param call the arguments, the environment and the hook that prints the help text.
/// @return the parsed arguments; empty if --help was given and its text has been printed.
/// @throws core::invalid_argument if an argument is not valid or no entry host is named.
[[nodiscard]] std::optional<cell_command> parse_cell_command(cxxopts::Options& options,
                                                             const command_call& call);

} // namespace rattanmount::app
