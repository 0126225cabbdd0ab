#include "app/command_quick.h"

#include "app/job_text.h"
#include "core/errors.h"
#include "front/api_client.h"
#include "front/json_codec.h"

#include <algorithm>

namespace rattanmount::app {

namespace {

void add_request_options(cxxopts::Options& options) {
    const auto text = [&options](const char* name, const char* what, const char* value) {
        options.add_options()(name, what, cxxopts::value<std::string>(), value);
    };
    text("team", "the team that it belongs to", "NAME");
    text("key", "a name that you choose; a repeat is the same request", "NAME");
    text("pool", "the pool that it goes to", "NAME");
    text("service", "the service whose executors take it", "NAME");
    text("body", "what the executor is given", "TEXT");
    text("body-file", "a file with what the executor is given", "FILE");
    options.add_options()("non-idempotent", "it runs at most once, whatever fails");
}

std::string read_body(const cxxopts::ParseResult& parsed) {
    const auto path = text_of(parsed, "body-file");
    if (path.empty()) {
        return text_of(parsed, "body");
    }
    if (parsed.count("body") > 0) {
        throw core::invalid_argument("--body and --body-file exclude each other");
    }
    return read_file(path);
}

core::quick_request read_request(const cxxopts::ParseResult& parsed, core::milliseconds limit) {
    return {.id = {.team = core::team_id{required_text(parsed, "team")},
                   .key = core::request_key{required_text(parsed, "key")}},
            .pool = core::pool_id{required_text(parsed, "pool")},
            .service = core::service_id{required_text(parsed, "service")},
            .idempotent = parsed.count("non-idempotent") == 0,
            .limit = limit,
            .body = read_body(parsed)};
}

void print_answer(const command_call& call, const core::job_id& id, const core::quick_answer& answer) {
    if (answer.result == core::outcome::completed) {
        call.hooks.print(answer.body);
        return;
    }
    const auto result = std::string{core::to_string(answer.result)};
    call.hooks.print_error(id.text() + ": " + result +
                           (answer.reason.empty() ? "" : " (" + answer.reason + ")") + "\n");
}

} // namespace

exit_code run_quick(const command_call& call) {
    cxxopts::Options options{"rattanmount quick",
                             "Sends a quick request, waits for the answer and prints its body."};
    add_request_options(options);
    add_cell_options(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const auto limit = std::min(cell.limit, max_call_timeout);
    const auto request = read_request(*parsed, limit);
    const front::api_client client{{.hosts = cell.hosts}};
    const auto answer = client.quick(request, limit);
    if (cell.json) {
        call.hooks.print(front::encode(answer) + "\n");
    } else {
        print_answer(call, request.id, answer);
    }
    return exit_code_of(answer.result);
}

} // namespace rattanmount::app
