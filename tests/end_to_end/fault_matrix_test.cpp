#include "tests/end_to_end/cell_fixture.h"
#include "tests/end_to_end/journal_checks.h"
#include "tests/end_to_end/matrix_fault.h"
#include "tests/end_to_end/matrix_step.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace rattanmount::tests;
using namespace std::chrono_literals;

namespace {

void submit(cell_fixture& cell, step_state& state, int host, const std::string& key,
            std::chrono::milliseconds run_time) {
    record_answer(find_or_add_record(state, key), cell.submit(host, key, run_time));
}

void submit_four_more(cell_fixture& cell, step_state& state, int round) {
    for (int number = 0; number < 4; ++number) {
        submit(cell, state, number % 3,
               state.prefix + "-" + std::to_string(round) + "x" + std::to_string(number), 100ms);
    }
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

/// Runs all steps concurrently under one fault and checks the journals.
void run_all_steps(cell_fixture& cell, const matrix_fault& fault) {
    const auto all = matrix_steps();
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
    const auto single = matrix_faults();
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
    const auto all = matrix_faults();
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
