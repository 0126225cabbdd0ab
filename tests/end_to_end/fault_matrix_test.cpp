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

/// The entry host that faults of hosts hit; calls under a fault go through it and through host 0.
constexpr int faulty_host = 1;
constexpr int healthy_host = 0;
const std::vector<int> hosts_called{healthy_host, faulty_host};

/// One column of the matrix.
struct matrix_fault {
    std::string name;
    std::function<void(cell_fixture&)> begin;
    std::function<void(cell_fixture&)> end;
    bool during_calls = false; ///< It begins and ends while the calls are in flight.
};

/// What one step asked for and was told.
struct step_state {
    std::string prefix;
    std::vector<caller_record> records;
};

/// One row of the matrix: what is done before the fault, under it, and after it until the step is over.
struct matrix_step {
    std::string name;
    std::function<void(cell_fixture&, step_state&)> before;
    std::function<void(cell_fixture&, step_state&)> under;
    std::function<void(cell_fixture&, step_state&)> after;
};

std::string key_of(const step_state& state, int number) {
    return state.prefix + "-" + std::to_string(number);
}

caller_record& record_of(step_state& state, const std::string& key) {
    for (auto& record : state.records) {
        if (record.id == "tabua/" + key) {
            return record;
        }
    }
    state.records.push_back({.id = "tabua/" + key});
    return state.records.back();
}

void note_answer(caller_record& record, const http_result& answer) {
    const auto said = answer.text("state");
    record.accepted = record.accepted || said == "accepted";
    record.not_run = record.not_run || answer.text("result") == "not_run";
}

void submit(cell_fixture& cell, step_state& state, int host, const std::string& key,
            std::chrono::milliseconds run_time) {
    note_answer(record_of(state, key), cell.submit(host, key, run_time));
}

/// Hands in the jobs that a step needs; a refusal is repeated, as a caller would.
void submit_four(cell_fixture& cell, step_state& state, std::chrono::milliseconds run_time) {
    for (int number = 0; number < 4; ++number) {
        const auto key = key_of(state, number);
        const bool accepted = wait_until(
            [&] {
                auto& record = record_of(state, key);
                record.not_run = false; // A repeat after a refusal is a request of its own.
                note_answer(record, cell.submit(healthy_host, key, run_time));
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
            return std::ranges::all_of(state.records,
                                       [&](const auto& record) { return starts_of(journal, record.id) > 0; });
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

void accept_under(cell_fixture& cell, step_state& state) {
    int number = 0;
    for (const int host : hosts_called) {
        const auto key = key_of(state, number++);
        note_answer(record_of(state, key), cell.submit(host, key, 100ms, 1, 1s));
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

http_result quick(cell_fixture& cell, int host, const std::string& key, bool idempotent) {
    const nlohmann::json request{
        {"team", "tabua"},           {"key", key},    {"pool", "previews"},      {"service", "templates"},
        {"body", "{\"run_ms\":20}"}, {"limit", "1s"}, {"idempotent", idempotent}};
    return http("POST", cell.front_port(host), "/v1/quick", request.dump());
}

http_result quick_for(cell_fixture& cell, int host, const caller_record& record,
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

void quick_under(cell_fixture& cell, step_state& state, bool idempotent) {
    for (int number = 0; number < 8; ++number) {
        const auto key = key_of(state, number);
        const int host = hosts_called[static_cast<std::size_t>(number) % hosts_called.size()];
        auto& record = record_of(state, key);
        record.idempotent = idempotent;
        const auto answer = quick(cell, host, key, idempotent);
        record.completed = answer.text("result") == "completed";
        record.not_run = answer.text("result") == "not_run";
        record.answer = answer.text("body");
    }
}

void preview_after(cell_fixture& cell, step_state& state) {
    CHECK(wait_until(
        [&] {
            return quick(cell, healthy_host, state.prefix + "-after", true).text("result") == "completed";
        },
        10s));
}

/// Repeats the payments of unknown fate with their keys, which must not run them again.
void payment_after(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (!record.completed && !record.not_run) {
            const auto answer = quick(cell, healthy_host, record.id.substr(record.id.find('/') + 1), false);
            record.completed = answer.text("result") == "completed";
            record.not_run = answer.text("result") == "not_run";
            record.answer = answer.text("body");
        }
    }
    int number = 0;
    CHECK(wait_until(
        [&] {
            return quick(cell, healthy_host, state.prefix + "-after-" + std::to_string(number++), false)
                       .text("result") == "completed";
        },
        10s));
}

void cancel_under(cell_fixture& cell, step_state& state) {
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
        {.name = "accept", .before = nothing, .under = accept_under, .after = accept_after},
        {.name = "start",
         .before = [](auto& cell, auto& state) { submit_four(cell, state, 100ms); },
         .under = nothing,
         .after = wait_for_ends},
        {.name = "run",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 2500ms);
                 wait_for_starts(cell, state);
             },
         .under = nothing,
         .after = wait_for_ends},
        {.name = "finish",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 700ms);
                 wait_for_starts(cell, state);
             },
         .under = nothing,
         .after = wait_for_ends},
        {.name = "quick",
         .before = nothing,
         .under = [](auto& cell, auto& state) { quick_under(cell, state, true); },
         .after = preview_after},
        {.name = "payment",
         .before = nothing,
         .under = [](auto& cell, auto& state) { quick_under(cell, state, false); },
         .after = payment_after},
        {.name = "cancel",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 8000ms);
                 wait_for_starts(cell, state);
             },
         .under = cancel_under,
         .after = cancel_after},
        {.name = "note",
         .before = nothing,
         .under = [](auto& cell, auto& state) { send_note(cell, faulty_host, state.prefix, "1s"); },
         .after = note_after},
    };
}

void order(int port, const nlohmann::json& fault) {
    REQUIRE(http("PUT", port, "/faults", fault.dump()).status / 100 == 2);
}

void end_faults(int port) {
    REQUIRE(http("DELETE", port, "/faults").status / 100 == 2);
}

matrix_fault log_fault(const std::string& name, const nlohmann::json& fault) {
    return {.name = name,
            .begin = [fault](cell_fixture& cell) { order(cell.log_port(), fault); },
            .end = [](cell_fixture& cell) { end_faults(cell.log_port()); }};
}

/// A fault of one worker and one executor, or of all of them.
matrix_fault target_fault(const std::string& name, const nlohmann::json& fault, bool all) {
    const auto ports = [all](cell_fixture& cell) {
        std::vector<int> chosen;
        for (const auto& worker : cell.workers()) {
            if (all || worker == "w11") {
                chosen.push_back(cell.worker_port(worker));
            }
        }
        for (const auto& executor : cell.executors()) {
            if (all || executor == "e11") {
                chosen.push_back(cell.executor_port(executor));
            }
        }
        return chosen;
    };
    return {.name = name,
            .begin =
                [=](cell_fixture& cell) {
                    for (const int port : ports(cell)) {
                        order(port, fault);
                    }
                },
            .end =
                [=](cell_fixture& cell) {
                    for (const int port : ports(cell)) {
                        end_faults(port);
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
                 std::this_thread::sleep_for(3s); // Beyond the lease term of 2 s.
                 cell.host(faulty_host).signal(SIGCONT);
             },
         .during_calls = true},
        log_fault("log-down", {{"fault", "down"}}),
        log_fault("log-slow", {{"fault", "slow"}, {"match", "append"}, {"ms", 120}}),
        log_fault("log-answers-lost",
                  {{"fault", "effect_without_answer"}, {"match", "append"}, {"count", 6}}),
        log_fault("log-silent", {{"fault", "silent_connections"}}),
        target_fault("targets-silent", {{"fault", "silent_connections"}}, true),
        target_fault("target-answers-lost", {{"fault", "effect_without_answer"}, {"count", 4}}, true),
        target_fault("target-down", {{"fault", "down"}}, false),
        target_fault("target-slow", {{"fault", "slow"}, {"ms", 300}}, false),
        target_fault("target-fails-starts", {{"fault", "fail_starts"}}, false),
        target_fault("target-crosses-answers", {{"fault", "crossed_answer"}, {"count", 3}}, true),
        {.name = "fleet-lags",
         .begin =
             [](cell_fixture& cell) {
                 order(cell.fleet_port(), {{"fault", "lag"}, {"ms", 3000}});
             },
         .end = [](cell_fixture& cell) { end_faults(cell.fleet_port()); }},
    };
}

/// All steps meet one fault at the same time.
void run_fault(cell_fixture& cell, const matrix_fault& fault) {
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
            std::async(std::launch::async, [&, index] { all[index].under(cell, states[index]); }));
    }
    if (fault.during_calls) {
        fault.begin(cell);
    } else {
        calls.clear(); // Waits for them.
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
        check_records(state.records, workers, executors);
    }
}

/// Two faults at the same time.
matrix_fault both(const matrix_fault& first, const matrix_fault& second) {
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

const matrix_fault& named(const std::vector<matrix_fault>& all, const std::string& name) {
    return *std::ranges::find(all, name, &matrix_fault::name);
}

/// Ends a host gracefully while it runs jobs and serves requests, and starts it again.
void shut_down_under(cell_fixture& cell, const matrix_fault& fault) {
    step_state jobs{.prefix = "leave-" + fault.name};
    step_state requests{.prefix = "quick-leave-" + fault.name};
    submit_four(cell, jobs, 1500ms);
    wait_for_starts(cell, jobs);
    for (int number = 0; number < 6; ++number) {
        requests.records.push_back({.id = "tabua/" + key_of(requests, number)});
    }
    fault.begin(cell);
    std::vector<std::future<void>> calls;
    for (auto& record : requests.records) {
        calls.push_back(std::async(std::launch::async, [&cell, &record] {
            const auto answer = quick_for(cell, faulty_host, record, 600ms);
            record.completed = answer.text("result") == "completed";
            record.answer = answer.text("body");
        }));
    }
    CHECK(wait_until(
        [&] {
            const auto journal = cell.executor_journal();
            return std::ranges::all_of(
                requests.records, [&](const auto& record) { return requests_run(journal, record.id) > 0; });
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
        CHECK(starts_of(workers, record.id) == 1);
    }
    check_invariants(workers, cell.executor_journal());
    check_records(jobs.records, workers, cell.executor_journal());
    check_records(requests.records, workers, cell.executor_journal());
    cell.start_host(faulty_host);
    cell.wait_until_serving();
}

std::int64_t first_list_of(cell_fixture& cell, std::int64_t version) {
    const auto journal = http("GET", cell.fleet_port(), "/journal?from=0").body.at("entries");
    for (const auto& item : journal) {
        if (item.at("kind") == "list" && item.value("value", std::int64_t{0}) >= version) {
            return item.at("ms").get<std::int64_t>();
        }
    }
    return 0;
}

} // namespace

TEST_CASE("every step under every recoverable fault keeps what must always hold") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    const auto single = faults();
    for (const auto& fault : single) {
        INFO(fault.name);
        run_fault(cell, fault);
    }
    const auto together = both(named(single, "host-killed"), named(single, "log-answers-lost"));
    INFO(together.name);
    run_fault(cell, together);
}

TEST_CASE("a graceful shutdown under a fault cuts no request in flight and restarts no task") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    const auto all = faults();
    for (const auto* name : {"log-slow", "log-answers-lost", "targets-silent"}) {
        INFO(name);
        shut_down_under(cell, named(all, name));
    }
}

TEST_CASE("targets that the fleet list shows as leaving get no new work after 3 s, and theirs is finished") {
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
    REQUIRE(wait_until([&] { return first_list_of(cell, version) > 0; }, 10s));
    const auto shown = first_list_of(cell, version);
    // Enough work after the 3 s that each target would get some.
    for (int round = 0; round < 9; ++round) {
        submit_four_more(cell, jobs, round);
        for (int number = 0; number < 4; ++number) {
            quick(cell, number % 3, "leaving-" + std::to_string(4 * round + number), true);
        }
        std::this_thread::sleep_for(400ms);
    }
    // As many tasks as all workers have room for, the leaving one among them.
    for (int number = 0; number < 4; ++number) {
        const auto key = jobs.prefix + "-all-" + std::to_string(number);
        note_answer(record_of(jobs, key), cell.submit(number % 3, key, 500ms, 8));
    }
    wait_for_ends(cell, jobs);
    const auto workers = cell.worker_journal();
    const auto executors = cell.executor_journal();
    check_no_new_work(workers, "w11", shown);
    check_no_new_work(executors, "e11", shown);
    check_invariants(workers, executors);
    check_records(jobs.records, workers, executors);
}
