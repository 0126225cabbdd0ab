#include "app/command_arguments.h"

#include "core/duration_text.h"
#include "core/errors.h"

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace rattanmount::app {

namespace {

constexpr auto entry_variable = "RATTANMOUNT_ENTRY";

std::vector<core::endpoint> parse_endpoints(const std::string& text) {
    std::vector<core::endpoint> result;
    std::istringstream stream{text};
    for (std::string each; std::getline(stream, each, ',');) {
        result.push_back(core::endpoint::parse(each));
    }
    return result;
}

void reject_repeated_options(const cxxopts::ParseResult& parsed) {
    std::set<std::string> seen;
    for (const auto& each : parsed.arguments()) {
        if (!seen.insert(each.key()).second) {
            throw core::invalid_argument("'" + each.key() + "' is given more than once");
        }
    }
}

void reject_extra_arguments(const cxxopts::ParseResult& parsed) {
    if (!parsed.unmatched().empty()) {
        throw core::invalid_argument("unexpected argument '" + parsed.unmatched().front() + "'");
    }
}

cxxopts::ParseResult parse(cxxopts::Options& options, const command_call& call) {
    std::vector<const char*> arguments{"rattanmount"};
    for (const auto& each : call.arguments) {
        arguments.push_back(each.c_str());
    }
    try {
        return options.parse(static_cast<int>(arguments.size()), arguments.data());
    } catch (const cxxopts::exceptions::exception& error) {
        throw core::invalid_argument(error.what());
    }
}

} // namespace

void add_cell_options(cxxopts::Options& options) {
    options.add_options()("entry", "entry hosts to call; without it, RATTANMOUNT_ENTRY of the environment",
                          cxxopts::value<std::string>(), "IP:PORT[,IP:PORT]");
    options.add_options()("limit", "how long the command may take, such as 500ms or 5s",
                          cxxopts::value<std::string>(), "DURATION");
    options.add_options()("json", "print JSON");
}

void add_job_argument(cxxopts::Options& options) {
    options.add_options("hidden")("job", "the job", cxxopts::value<std::string>());
    options.parse_positional("job");
    options.positional_help("TEAM/KEY");
}

std::optional<cxxopts::ParseResult> parse_arguments(cxxopts::Options& options, const command_call& call) {
    options.add_options()("h,help", "print this text");
    auto parsed = parse(options, call);
    if (parsed.count("help") > 0) {
        call.hooks.print(options.help({""}) + "\n" + std::string{exit_code_help});
        return std::nullopt;
    }
    reject_repeated_options(parsed);
    reject_extra_arguments(parsed);
    return parsed;
}

cell_options read_cell_options(const cxxopts::ParseResult& parsed, const command_call& call,
                               const std::string& limit) {
    auto hosts = text_of(parsed, "entry");
    if (hosts.empty()) {
        hosts = call.hooks.environment(entry_variable);
    }
    if (hosts.empty()) {
        throw core::invalid_argument(std::string{"no entry host is named; give --entry or set "} +
                                     entry_variable);
    }
    const auto given_limit = text_of(parsed, "limit");
    cell_options options{.hosts = parse_endpoints(hosts),
                         .limit = core::parse_duration(given_limit.empty() ? limit : given_limit),
                         .json = parsed.count("json") > 0};
    if (options.limit <= core::milliseconds::zero()) {
        throw core::invalid_argument("--limit must be more than 0");
    }
    return options;
}

core::job_id read_job_argument(const cxxopts::ParseResult& parsed) {
    const auto text = text_of(parsed, "job");
    const auto slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size()) {
        throw core::invalid_argument("expected a job as TEAM/KEY, got '" + text + "'");
    }
    return {.team = core::team_id{text.substr(0, slash)}, .key = core::request_key{text.substr(slash + 1)}};
}

std::string text_of(const cxxopts::ParseResult& parsed, const std::string& name) {
    return parsed.count(name) == 0 ? "" : parsed[name].as<std::string>();
}

std::string required_text(const cxxopts::ParseResult& parsed, const std::string& name) {
    auto text = text_of(parsed, name);
    if (text.empty()) {
        throw core::invalid_argument("--" + name + " must be given");
    }
    return text;
}

std::string read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw core::invalid_argument("the file '" + path + "' cannot be read");
    }
    return {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

} // namespace rattanmount::app
