#include "app/command_line.h"
#include "front/http_front.h"
#include "telemetry/event_text.h"
#include "tests/front/fake_cell.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::app;
using namespace std::chrono_literals;

namespace {

/// The exit code and the output of one run of the program.
struct run_result {
    int code = 0;
    std::string out;
    std::string error;
};

run_result run(const std::vector<std::string>& arguments, const std::string& entry = "",
               std::function<int(const settings::host_settings&)> run_entry = {}) {
    run_result result;
    std::vector<const char*> argv{"rattanmount"};
    for (const auto& each : arguments) {
        argv.push_back(each.c_str());
    }
    core::steady_time now{};
    const command_hooks hooks{
        .run_entry = std::move(run_entry),
        .environment = [&](const std::string& name) { return name == "RATTANMOUNT_ENTRY" ? entry : ""; },
        .print = [&](std::string_view text) { result.out += text; },
        .print_error = [&](std::string_view text) { result.error += text; },
        .now = [&] { return now; },
        .sleep = [&](core::milliseconds time) { now += time; }};
    result.code = run_command(static_cast<int>(argv.size()), argv.data(), hooks);
    return result;
}

/// An entry host that answers with fixed values.
class fake_host {
public:
    explicit fake_host(core::cell_calls calls)
        : server({.listen = {.address = "127.0.0.1", .port = 0, .path = ""},
                  .max_threads = 4,
                  .quiet_time = 1ms,
                  .calls = std::move(calls)}) {
        this->server.start();
    }

    ~fake_host() { this->server.stop(1s); }

    fake_host(const fake_host&) = delete;
    fake_host& operator=(const fake_host&) = delete;

    [[nodiscard]] std::string address() const { return this->server.endpoint().text(); }

private:
    front::http_front server;
};

/// A file that is removed at the end of a test.
class temporary_file {
public:
    explicit temporary_file(const std::string& name, const std::string& content = "")
        : path(std::filesystem::temp_directory_path() / ("rattanmount_app_test_" + name)) {
        std::ofstream{this->path} << content;
    }

    ~temporary_file() { std::filesystem::remove(this->path); }

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] std::string name() const { return this->path.string(); }

    [[nodiscard]] std::string content() const {
        std::ifstream file{this->path};
        return {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    }

private:
    std::filesystem::path path;
};

core::cell_calls with_answer(const core::job_answer& answer) {
    auto calls = front::fake_cell();
    calls.submit = [answer](const core::job_spec&, core::milliseconds) { return answer; };
    calls.status = [answer](const core::job_id&, core::milliseconds) { return answer; };
    calls.cancel = [answer](const core::job_id&, core::milliseconds) { return answer; };
    return calls;
}

std::vector<std::string> submit_line(const std::vector<std::string>& more = {}) {
    std::vector<std::string> line{"submit", "--team",  "tabua", "--key",        "k1", "--pool",
                                  "print",  "--tasks", "2",     "--millicores", "500"};
    line.insert(line.end(), more.begin(), more.end());
    return line;
}

const std::vector<std::string> quick_line{"quick",  "--team", "t",         "--key", "k",
                                          "--pool", "p",      "--service", "s",     "--body=hi"};

const std::string example = RATTANMOUNT_SOURCE_FOLDER "/examples/entry.json";

const std::string unreachable_host = "127.0.0.1:1";

/// One JSON line of the timeline of a host.
std::string event_line(const std::string& host, core::milliseconds at) {
    return telemetry::to_json_lines({{.at = {.wall = core::from_epoch(at), .counter = 0},
                                      .host = core::host_id{host},
                                      .incarnation = core::incarnation_id{host + "-1"},
                                      .kind = telemetry::event_kind::job_accepted,
                                      .about = {.job = "t/" + host}}});
}

} // namespace

TEST_CASE("the exit code follows the state and outcome of the job") {
    using core::answer_state;
    using core::outcome;
    struct sample {
        core::job_answer answer;
        int status_code;
        int cancel_code;
    };
    const std::vector<sample> samples{{{.state = answer_state::accepted}, 0, 0},
                                      {{.state = answer_state::ended, .result = outcome::completed}, 0, 0},
                                      {{.state = answer_state::ended, .result = outcome::failed}, 1, 0},
                                      {{.state = answer_state::ended, .result = outcome::not_run}, 3, 0},
                                      {{.state = answer_state::ended, .result = outcome::unknown}, 4, 4},
                                      {{.state = answer_state::refused, .result = outcome::not_run}, 3, 3},
                                      {{.state = answer_state::refused, .result = outcome::unknown}, 4, 4},
                                      {{.state = answer_state::unsettled, .result = outcome::unknown}, 4, 4}};
    for (const auto& [answer, status_code, cancel_code] : samples) {
        CAPTURE(to_string(answer.state), to_string(answer.result));
        const fake_host host{with_answer(answer)};
        CHECK(run(submit_line(), host.address()).code == status_code);
        CHECK(run({"status", "tabua/k1"}, host.address()).code == status_code);
        CHECK(run({"cancel", "tabua/k1"}, host.address()).code == cancel_code);
    }
}

TEST_CASE("submit sends the job that the arguments describe") {
    core::job_spec sent;
    auto calls = front::fake_cell();
    calls.submit = [&](const core::job_spec& spec, core::milliseconds) -> core::job_answer {
        sent = spec;
        return {.state = core::answer_state::accepted};
    };
    const fake_host host{calls};
    const auto result = run(submit_line({"--kind", "gang", "--memory-mb", "64", "--expected-run-time", "90s",
                                         "--non-idempotent", "--payload", "a b", "--entry", host.address()}));
    CHECK(result.code == 0);
    CHECK(result.out == "tabua/k1: accepted\n");
    const core::job_spec expected{.id = {.team = core::team_id{"tabua"}, .key = core::request_key{"k1"}},
                                  .pool = core::pool_id{"print"},
                                  .kind = core::work_kind::gang,
                                  .tasks = 2,
                                  .each = {.millicores = 500, .memory_mb = 64, .accelerators = 0},
                                  .expected_run_time = 90s,
                                  .idempotent = false,
                                  .max_attempts = 1,
                                  .service = {},
                                  .payload = "a b"};
    CHECK(sent == expected);
}

TEST_CASE("submit --wait returns the job's outcome, or unsettled after the limit") {
    auto calls = front::fake_cell();
    int status_calls = 0;
    calls.status = [&](const core::job_id&, core::milliseconds) -> core::job_answer {
        ++status_calls;
        return {.state = status_calls < 3 ? core::answer_state::accepted : core::answer_state::ended,
                .result = core::outcome::failed};
    };
    const fake_host host{calls};
    CHECK(run(submit_line({"--wait"}), host.address()).code == 1);
    CHECK(status_calls == 3);
    const fake_host slow{with_answer({.state = core::answer_state::accepted})};
    CHECK(run(submit_line({"--wait", "--limit", "1s"}), slow.address()).code == 4);
}

TEST_CASE("the exit code is 5 if no host is reached and 4 if the outcome is not known") {
    CHECK(run(submit_line(), unreachable_host).code == 5);
    CHECK(run({"hosts"}, unreachable_host).code == 5);
    CHECK(run({"timeline"}, unreachable_host).code == 5);
    const fake_host host{with_answer({.state = core::answer_state::accepted})};
    CHECK(run({"status", "t/k"}, unreachable_host + "," + host.address()).code == 0);
    auto calls = front::fake_cell();
    calls.quick = [](const core::quick_request&) -> core::quick_answer {
        return {.result = core::outcome::unknown, .reason = "timed out"};
    };
    const fake_host silent{calls};
    const auto result = run(quick_line, silent.address());
    CHECK(result.code == 4);
    CHECK(result.out.empty());
    CHECK(result.error == "t/k: unknown (timed out)\n");
}

TEST_CASE("an invalid command line exits with 2 and calls no host") {
    const std::vector<std::vector<std::string>> lines{
        {},
        {"sumbit"},
        {"status"},
        {"status", "tabua"},
        {"status", "tabua/"},
        {"status", "tabua/k1", "more"},
        {"status", "tabua/k1", "--colour"},
        {"status", "tabua/k1", "--limit", "5"},
        {"status", "tabua/k1", "--limit", "0s"},
        {"status", "tabua/k1", "--entry", "entry.example:80"},
        {"status", "tabua/k1", "--limit", "1s", "--limit", "2s"},
        {"submit", "--team", "t", "--pool", "p", "--millicores", "1"},
        {"submit", "--team", "t", "--key", "k", "--pool", "p"},
        submit_line({"--memory-mb", "many"}),
        submit_line({"--max-attempts", "-1"}),
        submit_line({"--kind", "quick"}),
        submit_line({"--kind", "service", "--wait"}),
        submit_line({"--non-idempotent", "--max-attempts", "2"}),
        {"submit", "--file", "/nowhere/job.json"},
        {"submit", "--file", example, "--team", "t"},
        {"note"},
        {"note", "apply"},
        {"note", "show", "file"},
        {"note", "apply", "/nowhere/note.json"},
        {"check-settings"},
        {"check-settings", "/nowhere/entry.json"},
        {"entry"}};
    for (const auto& line : lines) {
        CAPTURE(line);
        CHECK(run(line, unreachable_host).code == 2);
    }
    CHECK(run({"status", "tabua/k1"}).code == 2);
}

TEST_CASE("the help of the listed commands shows the exit codes") {
    for (const auto* name : {"entry", "check-settings", "submit", "status", "cancel", "explain", "quick",
                             "note", "hosts", "timeline", "metrics"}) {
        CAPTURE(name);
        const auto result = run({name, "--help"});
        CHECK(result.code == 0);
        CHECK_THAT(result.out, Catch::Contains("Exit codes:"));
        CHECK_THAT(run({"--help"}).out, Catch::Contains(std::string{"\n  "} + name + " "));
    }
}

TEST_CASE("entry runs the host with valid settings and returns its exit code") {
    std::string name;
    const auto run_entry = [&](const settings::host_settings& settings) {
        name = settings.host.name.value();
        return 1;
    };
    CHECK(run({"entry", "--settings", example}, "", run_entry).code == 1);
    CHECK(name == "entry-1");
    const temporary_file wrong{"wrong.json", "{}"};
    name.clear();
    CHECK(run({"entry", "--settings", wrong.name()}, "", run_entry).code == 2);
    CHECK(name.empty());
}

TEST_CASE("check-settings reports every error in the file") {
    CHECK(run({"check-settings", example}).code == 0);
    const temporary_file wrong{"faults.json", "{\"cell\": {\"shards\": 0}}"};
    const auto result = run({"check-settings", wrong.name(), "--json"});
    CHECK(result.code == 2);
    CHECK(nlohmann::json::parse(result.out).at("faults").size() == 8);
    CHECK_THAT(run({"check-settings", wrong.name()}).out,
               Catch::Contains("cell.shards: must be from 1 to 256\n"));
}

TEST_CASE("note apply repeats the call until the note is in force everywhere") {
    auto calls = front::fake_cell();
    int applied = 0;
    calls.apply_note = [&](const std::string& text, core::milliseconds) -> core::note_answer {
        ++applied;
        if (text == "{\"refuse\":1}") {
            return {.verdict = core::note_verdict::refused, .reason = "pool p: revision 3, by note n2"};
        }
        const auto verdict = applied < 3 ? core::note_verdict::pending : core::note_verdict::accepted;
        return {.verdict = verdict, .missing = {core::host_id{"e2"}}};
    };
    const fake_host host{calls};
    const temporary_file note{"note.json", "{}"};
    CHECK(run({"note", "apply", note.name()}, host.address()).code == 0);
    CHECK(applied == 3);
    applied = 0;
    const auto pending = run({"note", "apply", note.name(), "--limit", "100ms"}, host.address());
    CHECK(pending.code == 4);
    CHECK_THAT(pending.out, Catch::Contains("not yet in force on e2"));
    const temporary_file refused{"refused.json", "{\"refuse\":1}"};
    CHECK(run({"note", "apply", refused.name()}, host.address()).code == 3);
    CHECK(run({"note", "show"}, host.address()).out == "{\"pools\":[]}\n");
}

TEST_CASE("timeline merges the events of all live hosts that the named host reports") {
    auto second = front::fake_cell();
    second.timeline = [] { return event_line("e2", 1ms); };
    const fake_host second_host{second};
    auto first = front::fake_cell();
    first.timeline = [] { return event_line("e1", 2ms) + event_line("e1", 5ms); };
    first.hosts = [&] {
        return std::vector<core::host_status>{
            {.host = core::host_id{"e5"}, .address = "", .live = true},
            {.host = core::host_id{"e2"}, .address = second_host.address(), .live = true},
            {.host = core::host_id{"e3"}, .address = unreachable_host, .live = true},
            {.host = core::host_id{"e4"}, .address = "127.0.0.1:2", .live = false}};
    };
    const fake_host first_host{first};

    const auto all = run({"timeline", "--json"}, first_host.address());
    CHECK(all.code == 0);
    CHECK(all.out == event_line("e2", 1ms) + event_line("e1", 2ms) + event_line("e1", 5ms));
    CHECK_THAT(all.error, Catch::Contains("no events from " + unreachable_host));
    CHECK_THAT(all.error, !Catch::Contains("127.0.0.1:2"));
    CHECK(run({"timeline", "--json", "--host", "e2"}, first_host.address()).out == event_line("e2", 1ms));
    CHECK(run({"timeline", "--json", "--job", "t/e2"}, first_host.address()).out == event_line("e2", 1ms));
    const temporary_file trace{"trace.json"};
    CHECK(run({"timeline", "--trace", trace.name()}, first_host.address()).out.empty());
    CHECK(nlohmann::json::parse(trace.content()).contains("traceEvents"));
}

TEST_CASE("the other commands print the answer of the host") {
    const fake_host host{front::fake_cell()};
    CHECK(run({"explain", "t/k"}, host.address()).out == "waits for memory\nlargest free: 1024MB\n");
    CHECK_THAT(run({"hosts"}, host.address()).out, Catch::Contains("entry-1") && Catch::Contains("leaving"));
    CHECK(nlohmann::json::parse(run({"hosts", "--json"}, host.address()).out).is_structured());
    CHECK(run({"metrics"}, host.address()).out == "starts_total 4\n");
    const auto status = run({"status", "tabua/sheets:1"}, host.address());
    CHECK_THAT(status.out, Catch::Contains("tabua/sheets:1: ended, failed (a task failed)") &&
                               Catch::Contains("7 tasks, 1 waiting, 2 running, 4 ended") &&
                               Catch::Contains("task 0 on worker w1"));
    CHECK(nlohmann::json::parse(run({"status", "t/k", "--json"}, host.address()).out).is_object());
    const auto quick = run(quick_line, host.address());
    CHECK(quick.code == 0);
    CHECK(quick.out == "hi");
}
