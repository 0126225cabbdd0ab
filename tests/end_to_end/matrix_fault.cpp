#include "tests/end_to_end/matrix_fault.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

namespace rattanmount::tests {

using namespace std::chrono_literals;

namespace {

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

} // namespace

std::vector<matrix_fault> matrix_faults() {
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

} // namespace rattanmount::tests
