#include "tests/end_to_end/cell_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace rattanmount::tests;
using namespace std::chrono_literals;

namespace {

http_result preview(cell_fixture& cell, int host, const std::string& key,
                    std::chrono::milliseconds run_time) {
    const nlohmann::json request{{"team", "tabua"},
                                 {"key", key},
                                 {"pool", "previews"},
                                 {"service", "templates"},
                                 {"body", "{\"run_ms\":" + std::to_string(run_time.count()) + "}"}};
    return http("POST", cell.front_port(host), "/v1/quick", request.dump());
}

std::size_t count_entries(const std::vector<nlohmann::json>& journal, const std::string& kind) {
    return static_cast<std::size_t>(std::ranges::count_if(
        journal, [&](const nlohmann::json& entry) { return text_of(entry, "kind") == kind; }));
}

} // namespace

TEST_CASE("load beyond all slots is shed with not_run, and no executor exceeds its slots") {
    cell_fixture cell{{.hosts = 2, .shards = 2, .executors_per_data_centre = 1}};
    cell.wait_until_serving();
    cell.apply_first_note();
    // 120 requests of 300 ms each compete for 16 slots: about 100 of them fit into the limit of 2 s.
    std::vector<std::thread> callers;
    std::vector<std::string> outcomes(120);
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        callers.emplace_back([&, index] {
            const auto result =
                preview(cell, static_cast<int>(index % 2), "crest-" + std::to_string(index), 300ms);
            outcomes[index] = result.text("result");
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    const auto completed = std::ranges::count(outcomes, "completed");
    const auto not_run = std::ranges::count(outcomes, "not_run");
    const auto journal = cell.executor_journal();
    INFO(completed << " completed, " << not_run << " not run");
    // A request that got its slot late may reach its limit while it runs; that is not reported as `not_run`.
    CHECK(completed + not_run + std::ranges::count(outcomes, "unknown") +
              std::ranges::count(outcomes, "failed") ==
          120);
    CHECK(completed >= 60);
    CHECK(not_run >= 1);
    CHECK(count_entries(journal, "violation") == 0);
    CHECK(count_entries(journal, "start") + static_cast<std::size_t>(not_run) == 120);
}

TEST_CASE("a request that outlasts its first attempt never runs twice at the same time") {
    cell_fixture cell{{.hosts = 1, .shards = 2, .executors_per_data_centre = 1}};
    cell.wait_until_serving();
    cell.apply_first_note();
    const auto start = std::chrono::steady_clock::now();
    const auto result = preview(cell, 0, "slow", 800ms);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(result.text("result") == "completed");
    const auto journal = cell.executor_journal();
    CHECK(count_entries(journal, "start") == 2);
    CHECK(count_entries(journal, "abandoned") == 1);
    // The second attempt starts only when the executor has certainly abandoned the first, after 500 ms.
    CHECK(elapsed >= 500ms + 800ms);
}
