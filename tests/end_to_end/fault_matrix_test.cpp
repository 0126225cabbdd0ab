#include "tests/end_to_end/cell_fixture.h"
#include "tests/end_to_end/journal_checks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace rattanmount::tests;
using namespace std::chrono_literals;

namespace {

/// The entry host that host faults affect. Calls during a fault go through it and through the healthy host.
constexpr int faulty_host = 1;
constexpr int healthy_host = 0;
const std::vector<int> hosts_called{healthy_host, faulty_host};

/// A column of the matrix: a fault.
struct matrix_fault {
    std::string name;
    std::function<void(cell_fixture&)> begin;
    std::function<void(cell_fixture&)> end;
    bool during_calls = false; ///< Whether the fault begins and ends while the calls are in flight.
};

/// The requests of a step and the answers to them.
struct step_state {
    std::string prefix;
    std::vector<caller_record> records;
};

/// A row of the matrix: a step of a job, quick request or release note, with the actions before, during and
/// after the fault.
struct matrix_step {
    std::string name;
    std::function<void(cell_fixture&, step_state&)> before;
    std::function<void(cell_fixture&, step_state&)> during;
    std::function<void(cell_fixture&, step_state&)> after;
};

std::string make_key(const step_state& state, int number) {
    return state.prefix + "-" + std::to_string(number);
}

caller_record& find_or_add_record(step_state& state, const std::string& key) {
    for (auto& record : state.records) {
        if (record.id == "tabua/" + key) {
            return record;
        }
    }
    state.records.push_back({.id = "tabua/" + key});
    return state.records.back();
}

void record_answer(caller_record& record, const http_result& answer) {
    const auto job_state = answer.text("state");
    record.accepted = record.accepted || job_state == "accepted";
    record.not_run = record.not_run || answer.text("result") == "not_run";
}

void submit(cell_fixture& cell, step_state& state, int host, const std::string& key,
            std::chrono::milliseconds run_time) {
    record_answer(find_or_add_record(state, key), cell.submit(host, key, run_time));
}

/// Submits the jobs of a step. Repeats refused submissions, as a caller would.
void submit_four(cell_fixture& cell, step_state& state, std::chrono::milliseconds run_time) {
    for (int number = 0; number < 4; ++number) {
        const auto key = make_key(state, number);
        const bool accepted = wait_until(
            [&] {
                auto& record = find_or_add_record(state, key);
                record.not_run = false; // A repetition after a refusal counts as a new request.
                record_answer(record, cell.submit(healthy_host, key, run_time));
                return record.accepted;
            },
            10s);
        INFO(key);
        REQUIRE(accepted);
    }
}

void submit_four_more(cell_fixture& cell, step_state& state, int round) {
    for (int number = 0; number < 4; ++number) {
        submit(cell, state, number % 3,
               state.prefix + "-" + std::to_string(round) + "x" + std::to_string(number), 100ms);
    }
}

void wait_for_starts(cell_fixture& cell, const step_state& state) {
    CHECK(wait_until(
        [&] {
            const auto journal = cell.worker_journal();
            return std::ranges::all_of(
                state.records, [&](const auto& record) { return count_task_starts(journal, record.id) > 0; });
        },
        10s));
}

void wait_for_ends(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (!record.accepted) {
            continue;
        }
        const auto last = cell.wait_for_end(healthy_host, record.id.substr(record.id.find('/') + 1), 20s);
        INFO(record.id << ": " << last.dump());
        record.ended = text_of(last, "state") == "ended";
        record.not_run = record.not_run || text_of(last, "result") == "not_run";
        CHECK(record.ended);
    }
}

void accept_during(cell_fixture& cell, step_state& state) {
    int number = 0;
    for (const int host : hosts_called) {
        const auto key = make_key(state, number++);
        record_answer(find_or_add_record(state, key), cell.submit(host, key, 100ms, 1, 1s));
    }
}

void accept_after(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (record.accepted || record.not_run) {
            continue;
        }
        const auto key = record.id.substr(record.id.find('/') + 1);
        CHECK(wait_until(
            [&] {
                const auto answer = cell.submit(healthy_host, key, 100ms);
                record.accepted = answer.text("state") == "accepted" || answer.text("state") == "ended";
                return record.accepted;
            },
            10s));
    }
    wait_for_ends(cell, state);
}

http_result send_quick_request(cell_fixture& cell, int host, const std::string& key, bool idempotent) {
    const nlohmann::json request{
        {"team", "tabua"},           {"key", key},    {"pool", "previews"},      {"service", "templates"},
        {"body", "{\"run_ms\":20}"}, {"limit", "1s"}, {"idempotent", idempotent}};
    return http("POST", cell.front_port(host), "/v1/quick", request.dump());
}

http_result send_preview(cell_fixture& cell, int host, const caller_record& record,
                         std::chrono::milliseconds run_time) {
    const nlohmann::json request{{"team", "tabua"},
                                 {"key", record.id.substr(record.id.find('/') + 1)},
                                 {"pool", "previews"},
                                 {"service", "templates"},
                                 {"body", nlohmann::json{{"run_ms", run_time.count()}}.dump()},
                                 {"limit", "2s"},
                                 {"idempotent", record.idempotent}};
    return http("POST", cell.front_port(host), "/v1/quick", request.dump());
}

void quick_during(cell_fixture& cell, step_state& state, bool idempotent) {
    for (int number = 0; number < 8; ++number) {
        const auto key = make_key(state, number);
        const int host = hosts_called[static_cast<std::size_t>(number) % hosts_called.size()];
        auto& record = find_or_add_record(state, key);
        record.idempotent = idempotent;
        const auto answer = send_quick_request(cell, host, key, idempotent);
        record.completed = answer.text("result") == "completed";
        record.not_run = answer.text("result") == "not_run";
        record.answer = answer.text("body");
    }
}

void preview_after(cell_fixture& cell, step_state& state) {
    CHECK(wait_until(
        [&] {
            return send_quick_request(cell, healthy_host, state.prefix + "-after", true).text("result") ==
                   "completed";
        },
        10s));
}

/// Repeats the payments whose outcome is unknown under the same keys, which must not run them again.
void payment_after(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (!record.completed && !record.not_run) {
            const auto answer =
                send_quick_request(cell, healthy_host, record.id.substr(record.id.find('/') + 1), false);
            record.completed = answer.text("result") == "completed";
            record.not_run = answer.text("result") == "not_run";
            record.answer = answer.text("body");
        }
    }
    int number = 0;
    CHECK(wait_until(
        [&] {
            return send_quick_request(cell, healthy_host, state.prefix + "-after-" + std::to_string(number++),
                                      false)
                       .text("result") == "completed";
        },
        10s));
}

void cancel_during(cell_fixture& cell, step_state& state) {
    for (std::size_t index = 0; index < state.records.size(); ++index) {
        http("DELETE", cell.front_port(hosts_called[index % hosts_called.size()]),
             "/v1/jobs/" + state.records[index].id + "?limit=1s");
    }
}

void cancel_after(cell_fixture& cell, step_state& state) {
    for (const auto& record : state.records) {
        CHECK(wait_until(
            [&] {
                return http("DELETE", cell.front_port(healthy_host), "/v1/jobs/" + record.id).status / 100 ==
                       2;
            },
            10s));
    }
    wait_for_ends(cell, state);
}

http_result send_note(cell_fixture& cell, int host, const std::string& name, const std::string& limit) {
    const nlohmann::json note{
        {"id", name},
        {"author", "tests"},
        {"items", {{{"change", "add"}, {"pool", {{"name", name}, {"kind", "batch"}, {"priority", 10}}}}}}};
    return http("POST", cell.front_port(host), "/v1/notes?limit=" + limit, note.dump());
}

void note_after(cell_fixture& cell, step_state& state) {
    CHECK(wait_until(
        [&] { return send_note(cell, healthy_host, state.prefix, "2s").text("verdict") == "accepted"; },
        20s));
    for (int host = 0; host < 3; ++host) {
        INFO("the note " << state.prefix << " on host " << host);
        const auto shown = http("GET", cell.front_port(host), "/v1/notes");
        CHECK(shown.body.dump().find("\"" + state.prefix + "\"") != std::string::npos);
    }
}

std::vector<matrix_step> steps() {
    const auto nothing = [](cell_fixture&, step_state&) {};
    return {
        {.name = "accept", .before = nothing, .during = accept_during, .after = accept_after},
        {.name = "start",
         .before = [](auto& cell, auto& state) { submit_four(cell, state, 100ms); },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "run",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 2500ms);
                 wait_for_starts(cell, state);
             },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "finish",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 700ms);
                 wait_for_starts(cell, state);
             },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "quick",
         .before = nothing,
         .during = [](auto& cell, auto& state) { quick_during(cell, state, true); },
         .after = preview_after},
        {.name = "payment",
         .before = nothing,
         .during = [](auto& cell, auto& state) { quick_during(cell, state, false); },
         .after = payment_after},
        {.name = "cancel",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 8000ms);
                 wait_for_starts(cell, state);
             },
         .during = cancel_during,
         .after = cancel_after},
        {.name = "note",
         .before = nothing,
         .during = [](auto& cell, auto& state) { send_note(cell, faulty_host, state.prefix, "1s"); },
         .after = note_after},
    };
}

void inject_fault(int port, const nlohmann::json& fault) {
    REQUIRE(http("PUT", port, "/faults", fault.dump()).status / 100 == 2);
}

void clear_faults(int port) {
    REQUIRE(http("DELETE", port, "/faults").status / 100 == 2);
}

matrix_fault make_log_fault(const std::string& name, const nlohmann::json& fault) {
    return {.name = name,
            .begin = [fault](cell_fixture& cell) { inject_fault(cell.log_port(), fault); },
            .end = [](cell_fixture& cell) { clear_faults(cell.log_port()); }};
}

/// Creates a fault of one worker and one executor, or of all of them.
matrix_fault make_target_fault(const std::string& name, const nlohmann::json& fault, bool all) {
    const auto ports = [all](cell_fixture& cell) {
        std::vector<int> selected;
        for (const auto& worker : cell.workers()) {
            if (all || worker == "w11") {
                selected.push_back(cell.worker_port(worker));
            }
        }
        for (const auto& executor : cell.executors()) {
            if (all || executor == "e11") {
                selected.push_back(cell.executor_port(executor));
            }
        }
        return selected;
    };
    return {.name = name,
            .begin =
                [=](cell_fixture& cell) {
                    for (const int port : ports(cell)) {
                        inject_fault(port, fault);
                    }
                },
            .end =
                [=](cell_fixture& cell) {
                    for (const int port : ports(cell)) {
                        clear_faults(port);
                    }
                }};
}

std::vector<matrix_fault> faults() {
    return {
        {.name = "host-killed",
         .begin = [](cell_fixture& cell) { cell.host(faulty_host).kill(); },
         .end = [](cell_fixture& cell) { cell.start_host(faulty_host); },
         .during_calls = true},
        {.name = "host-stopped",
         .begin = [](cell_fixture& cell) { cell.host(faulty_host).signal(SIGSTOP); },
         .end =
             [](cell_fixture& cell) {
                 std::this_thread::sleep_for(3s); // Longer than the lease term of 2 s.
                 cell.host(faulty_host).signal(SIGCONT);
             },
         .during_calls = true},
        make_log_fault("log-down", {{"fault", "down"}}),
        make_log_fault("log-slow", {{"fault", "slow"}, {"match", "append"}, {"ms", 120}}),
        make_log_fault("log-answers-lost",
                       {{"fault", "effect_without_answer"}, {"match", "append"}, {"count", 6}}),
        make_log_fault("log-silent", {{"fault", "silent_connections"}}),
        make_target_fault("targets-silent", {{"fault", "silent_connections"}}, true),
        make_target_fault("target-answers-lost", {{"fault", "effect_without_answer"}, {"count", 4}}, true),
        make_target_fault("target-down", {{"fault", "down"}}, false),
        make_target_fault("target-slow", {{"fault", "slow"}, {"ms", 300}}, false),
        make_target_fault("target-fails-starts", {{"fault", "fail_starts"}}, false),
        make_target_fault("target-crosses-answers", {{"fault", "crossed_answer"}, {"count", 3}}, true),
        {.name = "fleet-lags",
         .begin =
             [](cell_fixture& cell) {
                 inject_fault(cell.fleet_port(), {{"fault", "lag"}, {"ms", 3000}});
             },
         .end = [](cell_fixture& cell) { clear_faults(cell.fleet_port()); }},
    };
}

/// Runs all steps concurrently under one fault and checks the journals.
void run_all_steps(cell_fixture& cell, const matrix_fault& fault) {
    const auto all = steps();
    std::vector<step_state> states;
    for (const auto& step : all) {
        states.push_back({.prefix = fault.name + "-" + step.name});
        INFO(states.back().prefix);
        step.before(cell, states.back());
    }
    if (!fault.during_calls) {
        fault.begin(cell);
    }
    std::vector<std::future<void>> calls;
    for (std::size_t index = 0; index < all.size(); ++index) {
        calls.push_back(
            std::async(std::launch::async, [&, index] { all[index].during(cell, states[index]); }));
    }
    if (fault.during_calls) {
        fault.begin(cell);
    } else {
        calls.clear(); // Waits for the calls.
    }
    fault.end(cell);
    calls.clear();
    cell.wait_until_serving();
    for (std::size_t index = 0; index < all.size(); ++index) {
        INFO(states[index].prefix);
        all[index].after(cell, states[index]);
    }
    const auto workers = cell.worker_journal();
    const auto executors = cell.executor_journal();
    check_invariants(workers, executors);
    for (const auto& state : states) {
        check_caller_records(state.records, workers, executors);
    }
}

/// Combines two faults into one that applies both at the same time.
matrix_fault combine(const matrix_fault& first, const matrix_fault& second) {
    return {.name = first.name + "-and-" + second.name,
            .begin =
                [=](cell_fixture& cell) {
                    first.begin(cell);
                    second.begin(cell);
                },
            .end =
                [=](cell_fixture& cell) {
                    second.end(cell);
                    first.end(cell);
                },
            .during_calls = first.during_calls || second.during_calls};
}

const matrix_fault& find_fault(const std::vector<matrix_fault>& all, const std::string& name) {
    return *std::ranges::find(all, name, &matrix_fault::name);
}

/// Shuts a host down gracefully while jobs and quick requests run under a fault, checks that none is aborted,
/// and restarts the host.
void check_graceful_shutdown(cell_fixture& cell, const matrix_fault& fault) {
    step_state jobs{.prefix = "leave-" + fault.name};
    step_state requests{.prefix = "quick-leave-" + fault.name};
    submit_four(cell, jobs, 1500ms);
    wait_for_starts(cell, jobs);
    for (int number = 0; number < 6; ++number) {
        requests.records.push_back({.id = "tabua/" + make_key(requests, number)});
    }
    fault.begin(cell);
    std::vector<std::future<void>> calls;
    for (auto& record : requests.records) {
        calls.push_back(std::async(std::launch::async, [&cell, &record] {
            const auto answer = send_preview(cell, faulty_host, record, 600ms);
            record.completed = answer.text("result") == "completed";
            record.answer = answer.text("body");
        }));
    }
    CHECK(wait_until(
        [&] {
            const auto journal = cell.executor_journal();
            return std::ranges::all_of(requests.records, [&](const auto& record) {
                return count_request_starts(journal, record.id) > 0;
            });
        },
        10s));
    cell.host(faulty_host).signal(SIGTERM);
    CHECK(cell.host(faulty_host).wait() == 0);
    calls.clear();
    fault.end(cell);
    for (const auto& record : requests.records) {
        INFO(record.id);
        CHECK(record.completed);
    }
    wait_for_ends(cell, jobs);
    const auto workers = cell.worker_journal();
    for (const auto& record : jobs.records) {
        CHECK(count_task_starts(workers, record.id) == 1);
    }
    check_invariants(workers, cell.executor_journal());
    check_caller_records(jobs.records, workers, cell.executor_journal());
    check_caller_records(requests.records, workers, cell.executor_journal());
    cell.start_host(faulty_host);
    cell.wait_until_serving();
}

std::int64_t time_of_first_list(cell_fixture& cell, std::int64_t version) {
    const auto journal = http("GET", cell.fleet_port(), "/journal?from=0").body.at("entries");
    for (const auto& item : journal) {
        if (item.at("kind") == "list" && item.value("value", std::int64_t{0}) >= version) {
            return item.at("ms").get<std::int64_t>();
        }
    }
    return 0;
}

} // namespace

TEST_CASE("the invariants hold for every step under every recoverable fault") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    const auto single = faults();
    for (const auto& fault : single) {
        INFO(fault.name);
        run_all_steps(cell, fault);
    }
    const auto together = combine(find_fault(single, "host-killed"), find_fault(single, "log-answers-lost"));
    INFO(together.name);
    run_all_steps(cell, together);
}

TEST_CASE("a graceful shutdown under a fault aborts no request in flight and restarts no task") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    const auto all = faults();
    for (const auto* name : {"log-slow", "log-answers-lost", "targets-silent"}) {
        INFO(name);
        check_graceful_shutdown(cell, find_fault(all, name));
    }
}

TEST_CASE("leaving targets get no new work after 3 s, and the work that they have is finished") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    step_state jobs{.prefix = "before-leaving"};
    submit_four(cell, jobs, 2000ms);
    wait_for_starts(cell, jobs);

    auto list = http("GET", cell.fleet_port(), "/fleet").body;
    const auto version = list.at("version").get<std::int64_t>() + 1;
    list["version"] = version;
    for (const auto* kind : {"workers", "executors"}) {
        for (auto& target : list.at(kind)) {
            if (target.at("name") == "w11" || target.at("name") == "e11") {
                target["state"] = "leaving";
            }
        }
    }
    REQUIRE(http("PUT", cell.fleet_port(), "/fleet", list.dump()).status / 100 == 2);
    REQUIRE(wait_until([&] { return time_of_first_list(cell, version) > 0; }, 10s));
    const auto shown = time_of_first_list(cell, version);
    // Continues beyond the 3 s with enough work that every target would get some.
    for (int round = 0; round < 9; ++round) {
        submit_four_more(cell, jobs, round);
        for (int number = 0; number < 4; ++number) {
            send_quick_request(cell, number % 3, "leaving-" + std::to_string(4 * round + number), true);
        }
        std::this_thread::sleep_for(400ms);
    }
    // As many tasks as fit on all workers together, including the leaving one.
    for (int number = 0; number < 4; ++number) {
        const auto key = jobs.prefix + "-all-" + std::to_string(number);
        record_answer(find_or_add_record(jobs, key), cell.submit(number % 3, key, 500ms, 8));
    }
    wait_for_ends(cell, jobs);
    const auto workers = cell.worker_journal();
    const auto executors = cell.executor_journal();
    check_no_new_work(workers, "w11", shown);
    check_no_new_work(executors, "e11", shown);
    check_invariants(workers, executors);
    check_caller_records(jobs.records, workers, executors);
}
