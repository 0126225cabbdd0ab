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

/// The arguments and the environment of one command.
struct command_call {
    std::vector<std::string> arguments; ///< The arguments after the command's name.
    const command_hooks& hooks;
};

/// The options of every command that calls a cell.
struct cell_options {
    std::vector<core::endpoint> hosts; ///< Entry hosts to call; at least one.
    core::milliseconds limit{0};       ///< Time limit of the whole command.
    bool json = false;                 ///< Print JSON instead of text for people.
};

/// The maximum duration of one call to an entry host. `submit --wait` and `note apply` repeat their call
/// until a longer limit has passed.
inline constexpr core::milliseconds max_call_timeout{30000};
inline constexpr auto default_limit = "5s";

/// Adds --entry, --limit and --json.
/// @param options the options of a command.
void add_cell_options(cxxopts::Options& options);

/// Adds the positional argument TEAM/KEY, which names a job.
/// @param options the options of a command.
void add_job_argument(cxxopts::Options& options);

/// Adds --help and parses the arguments.
/// @param options the options of a command.
/// @param call the arguments, and the hook that prints the help text.
/// @return the parsed arguments; empty if --help was given and its text has been printed.
/// @throws core::invalid_argument if an argument is not valid or is given more than once.
[[nodiscard]] std::optional<cxxopts::ParseResult> parse_arguments(cxxopts::Options& options,
                                                                  const command_call& call);

/// Reads the options that add_cell_options() adds.
/// @param parsed the arguments of a command.
/// @param call supplies the environment, which names the entry hosts if --entry is not given.
/// @param limit the default of --limit.
/// @return the options for calls to a cell.
/// @throws core::invalid_argument if no entry host is named, or an address or the limit is not valid.
[[nodiscard]] cell_options read_cell_options(const cxxopts::ParseResult& parsed, const command_call& call,
                                             const std::string& limit = default_limit);

/// Reads the positional argument that add_job_argument() adds.
/// @param parsed the arguments of a command.
/// @return the id of the job.
/// @throws core::invalid_argument if the argument is missing or not of the form TEAM/KEY.
[[nodiscard]] core::job_id read_job_argument(const cxxopts::ParseResult& parsed);

/// @param parsed the arguments of a command.
/// @param name the name of an option with a string value.
/// @return the value, or "" if the option is not given.
[[nodiscard]] std::string text_of(const cxxopts::ParseResult& parsed, const std::string& name);

/// @param parsed the arguments of a command.
/// @param name the name of an option with a string value.
/// @return the value.
/// @throws core::invalid_argument if the option is missing or empty.
[[nodiscard]] std::string required_text(const cxxopts::ParseResult& parsed, const std::string& name);

/// @param path the path of a file.
/// @return the whole content of the file.
/// @throws core::invalid_argument if the file cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

} // namespace rattanmount::app
