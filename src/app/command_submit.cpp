#include "app/command_submit.h"

#include "app/job_text.h"
#include "app/job_wait.h"
#include "core/duration_text.h"
#include "core/errors.h"
#include "core/names.h"
#include "front/api_client.h"
#include "front/json_codec.h"

#include <algorithm>

namespace rattanmount::app {

namespace {

constexpr auto default_wait_limit = "10m";

template <typename T>
void add_option(cxxopts::Options& options, const std::string& name, const std::string& text,
                const std::string& value) {
    options.add_options()(name, text, cxxopts::value<T>(), value);
}

void add_job_options(cxxopts::Options& options) {
    add_option<std::string>(options, "file", "the whole job as JSON, as the HTTP interface takes it", "FILE");
    add_option<std::string>(options, "team", "the team that it belongs to", "NAME");
    add_option<std::string>(options, "key", "a name that you choose; a repeat is the same job", "NAME");
    add_option<std::string>(options, "pool", "the pool that it goes to", "NAME");
    add_option<std::string>(options, "kind", "batch, gang or service; batch where not given", "KIND");
    add_option<std::uint32_t>(options, "tasks", "number of tasks; 1 where not given", "COUNT");
    add_option<std::int64_t>(options, "millicores", "processors of one task, in thousandths", "COUNT");
    add_option<std::int64_t>(options, "memory-mb", "memory of one task, in MB", "COUNT");
    add_option<std::int64_t>(options, "accelerators", "accelerators of one task", "COUNT");
    add_option<std::string>(options, "expected-run-time", "how long a task is likely to run", "DURATION");
    options.add_options()("non-idempotent", "each task runs at most once, whatever fails");
    add_option<std::uint32_t>(options, "max-attempts", "tries at one task; 3 where not given", "COUNT");
    add_option<std::string>(options, "payload", "what the task is given", "TEXT");
    add_option<std::string>(options, "payload-file", "a file with what the task is given", "FILE");
    options.add_options()("wait", "wait until the job has ended; --limit is then 10m where not given");
}

template <typename T>
void read_if_given(const cxxopts::ParseResult& parsed, const std::string& name, T& target) {
    if (parsed.count(name) > 0) {
        target = parsed[name].as<T>();
    }
}

std::string read_payload(const cxxopts::ParseResult& parsed) {
    const auto path = text_of(parsed, "payload-file");
    if (path.empty()) {
        return text_of(parsed, "payload");
    }
    if (parsed.count("payload") > 0) {
        throw core::invalid_argument("--payload and --payload-file exclude each other");
    }
    return read_file(path);
}

core::job_spec read_options(const cxxopts::ParseResult& parsed) {
    core::job_spec spec{.id = {.team = core::team_id{required_text(parsed, "team")},
                               .key = core::request_key{required_text(parsed, "key")}},
                        .pool = core::pool_id{required_text(parsed, "pool")}};
    if (parsed.count("kind") > 0) {
        spec.kind = core::parse_work_kind(text_of(parsed, "kind"));
    }
    if (parsed.count("expected-run-time") > 0) {
        spec.expected_run_time = core::parse_duration(text_of(parsed, "expected-run-time"));
    }
    spec.idempotent = parsed.count("non-idempotent") == 0;
    spec.max_attempts = spec.idempotent ? spec.max_attempts : 1;
    read_if_given(parsed, "tasks", spec.tasks);
    read_if_given(parsed, "millicores", spec.each.millicores);
    read_if_given(parsed, "memory-mb", spec.each.memory_mb);
    read_if_given(parsed, "accelerators", spec.each.accelerators);
    read_if_given(parsed, "max-attempts", spec.max_attempts);
    spec.payload = read_payload(parsed);
    return spec;
}

void reject_options_beside_file(const cxxopts::ParseResult& parsed) {
    for (const auto& each : parsed.arguments()) {
        const auto& key = each.key();
        if (key != "file" && key != "wait" && key != "entry" && key != "limit" && key != "json") {
            throw core::invalid_argument("--file and --" + key + " exclude each other");
        }
    }
}

core::job_spec read_spec(const cxxopts::ParseResult& parsed) {
    const auto path = text_of(parsed, "file");
    if (!path.empty()) {
        reject_options_beside_file(parsed);
    }
    auto spec = path.empty() ? read_options(parsed) : front::decode_job_spec(read_file(path));
    spec.check();
    if (spec.kind == core::work_kind::quick) {
        throw core::invalid_argument("kind: quick work must be sent with the command quick");
    }
    return spec;
}

core::job_answer submit(const command_call& call, const cell_options& cell, const core::job_spec& spec,
                        bool wait) {
    const front::api_client client{{.hosts = cell.hosts}};
    if (!wait) {
        return client.submit(spec, std::min(cell.limit, max_call_timeout));
    }
    if (spec.kind == core::work_kind::service) {
        throw core::invalid_argument("--wait cannot be used with a service, because a service does not end");
    }
    return wait_for_job({.submit = [&](core::milliseconds limit) { return client.submit(spec, limit); },
                         .status = [&](core::milliseconds limit) { return client.status(spec.id, limit); },
                         .now = call.hooks.now,
                         .sleep = call.hooks.sleep,
                         .limit = cell.limit,
                         .call_limit = core::parse_duration(default_limit)});
}

} // namespace

exit_code run_submit(const command_call& call) {
    cxxopts::Options options{"rattanmount submit", "Submits a job."};
    add_job_options(options);
    add_cell_options(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const bool wait = parsed->count("wait") > 0;
    const auto cell = read_cell_options(*parsed, call, wait ? default_wait_limit : default_limit);
    const auto spec = read_spec(*parsed);
    const auto answer = submit(call, cell, spec, wait);
    call.hooks.print(cell.json ? front::encode(answer) + "\n" : describe(spec.id, answer));
    return exit_code_of(answer);
}

} // namespace rattanmount::app
