#pragma once

#include "app/command_hooks.h"
#include "app/exit_code.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rattanmount::app {

/// One run of a command.
struct command_call {
    std::vector<std::string> arguments; ///< What follows the command's name.
    const command_hooks& hooks;
};

/// What all commands that call a cell take.
struct cell_options {
    std::vector<core::endpoint> hosts; ///< Entry hosts to call; at least one.
    core::milliseconds limit{0};       ///< How long the command may take.
    bool json = false;                 ///< Print JSON in place of text for people.
};

/// The longest that one call to an entry host may take; a command with a longer limit repeats its call.
inline constexpr core::milliseconds longest_call{30000};
inline constexpr auto default_limit = "5s";

/// Adds --entry, --limit and --json.
/// @param options the options of a command.
void add_cell_options(cxxopts::Options& options);

/// Adds the name of a job, TEAM/KEY, as an argument without a name.
/// @param options the options of a command.
void add_job_argument(cxxopts::Options& options);

/// Adds --help and reads the arguments.
/// @param options the options of a command.
/// @param call the call.
/// @return the arguments; empty where --help was asked for and printed.
/// @throws core::invalid_argument where the arguments are not valid or one is given twice.
[[nodiscard]] std::optional<cxxopts::ParseResult> parse_arguments(cxxopts::Options& options,
                                                                  const command_call& call);

/// @param parsed the arguments of a command.
/// @param call the call; its environment may name the entry hosts.
/// @param limit the limit where none is given.
/// @return the options for calls to a cell.
/// @throws core::invalid_argument where no entry host is named, or an address or the limit is not valid.
[[nodiscard]] cell_options read_cell_options(const cxxopts::ParseResult& parsed, const command_call& call,
                                             const std::string& limit = default_limit);

/// @param parsed the arguments of a command.
/// @return the job that they name.
/// @throws core::invalid_argument where they name none.
[[nodiscard]] core::job_id read_job_argument(const cxxopts::ParseResult& parsed);

/// @param parsed the arguments of a command.
/// @param name the name of an option that takes a text.
/// @return its value, or "" where it is not given.
[[nodiscard]] std::string text_of(const cxxopts::ParseResult& parsed, const std::string& name);

/// @param parsed the arguments of a command.
/// @param name the name of an option that takes a text.
/// @return its value.
/// @throws core::invalid_argument where it is not given.
[[nodiscard]] std::string required_text(const cxxopts::ParseResult& parsed, const std::string& name);

/// @param path a file.
/// @return all that is in it.
/// @throws core::invalid_argument where it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

} // namespace rattanmount::app
