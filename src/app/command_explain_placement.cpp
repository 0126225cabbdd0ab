#include "app/command_explain_placement.h"

#include "app/placement_text.h"
#include "core/duration_text.h"
#include "core/errors.h"
#include "inner/inner_client.h"

namespace rattanmount::app {

namespace {

cxxopts::Options make_options() {
    cxxopts::Options options{"rattanmount explain-placement",
                             "Says where a job would go on the users' platform if it was submitted now, and "
                             "why. Sends nothing to a worker and records nothing."};
    options.add_options()("host", "a host of the cell, by its setting listen.peers",
                          cxxopts::value<std::string>(), "IP:PORT")("name", "the host name that callers use",
                                                                    cxxopts::value<std::string>(), "NAME")(
        "path", "the path to which the job would be sent", cxxopts::value<std::string>(),
        "PATH")("key-file", "a file with the key of the caller's team", cxxopts::value<std::string>(),
                "FILE")("limit", "time limit of the call",
                        cxxopts::value<std::string>()->default_value(default_limit), "DURATION")(
        "json", "print JSON")("file", "the body of the request", cxxopts::value<std::string>(), "FILE");
    options.parse_positional({"file"});
    options.positional_help("FILE");
    return options;
}

/// @return the content of a file without white space at its end, which editors add.
std::string read_line(const std::string& path) {
    auto text = read_file(path);
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

cell::submission read_submission(const cxxopts::ParseResult& parsed) {
    cell::submission request{.host_name = required_text(parsed, "name"),
                             .path = required_text(parsed, "path"),
                             .key = std::nullopt,
                             .body = read_file(required_text(parsed, "file"))};
    if (const auto key_file = text_of(parsed, "key-file"); !key_file.empty()) {
        request.key = read_line(key_file);
    }
    return request;
}

} // namespace

exit_code run_explain_placement(const command_call& call) {
    auto options = make_options();
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto host = core::endpoint::parse(required_text(*parsed, "host"));
    const auto limit = core::parse_duration((*parsed)["limit"].as<std::string>());
    const auto request = read_submission(*parsed);
    const auto explanation = inner::inner_client{{.peer = host}}.hooks().explain_submission(request, limit);
    call.hooks.print(parsed->count("json") > 0 ? encode_json(explanation) + "\n" : describe(explanation));
    return explanation.waits_for.empty() ? exit_code::ok : exit_code::not_run;
}

} // namespace rattanmount::app
