#include "tests/end_to_end/cell_fixture.h"
#include "tests/end_to_end/journal_checks.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

using namespace rattanmount::tests;
using namespace std::chrono_literals;

TEST_CASE("quick requests and a batch job are served through different entry hosts") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();

    for (int host = 0; host < 3; ++host) {
        const auto preview = cell.preview(host, "preview-" + std::to_string(host));
        INFO(preview.body.dump());
        CHECK(preview.status == 200);
        CHECK(preview.text("result") == "completed");
    }

    const auto accepted = cell.submit(0, "sheets-1", 200ms, 3);
    INFO(accepted.body.dump());
    REQUIRE(accepted.text("state") == "accepted");
    const auto repeated = cell.submit(1, "sheets-1", 200ms, 3);
    CHECK(repeated.text("state") != "refused");
    const auto other_body = cell.submit(1, "sheets-1", 300ms, 3);
    CHECK(other_body.text("state") == "refused");
    CHECK(other_body.status == 409);
    const auto ended = cell.wait_for_end(2, "sheets-1", 10s);
    INFO(ended.dump());
    CHECK(text_of(ended, "result") == "completed");

    const auto journal = cell.worker_journal();
    CHECK(count_task_starts(journal, "tabua/sheets-1") == 3);
    check_invariants(journal, cell.executor_journal());
}

TEST_CASE("after the kill of an entry host, worker or executor the others serve within 10 s") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    for (int number = 0; number < 6; ++number) {
        REQUIRE(cell.submit(0, "before-" + std::to_string(number), 1500ms).text("state") == "accepted");
    }

    SECTION("an entry host") {
        cell.host(1).kill();
    }
    SECTION("a worker") {
        cell.worker("w11").kill();
    }
    SECTION("an executor") {
        cell.executor("e21").kill();
    }

    CHECK(wait_until([&] { return cell.preview(0, "after").text("result") == "completed"; }, 10s));
    const bool batch_accepted =
        wait_until([&] { return cell.submit(2, "after-batch", 100ms).text("state") != "refused"; }, 10s);
    CHECK(batch_accepted);
    CHECK(text_of(cell.wait_for_end(0, "after-batch", 10s), "result") == "completed");
    for (int number = 0; number < 6; ++number) {
        const auto ended = cell.wait_for_end(2, "before-" + std::to_string(number), 20s);
        INFO(ended.dump());
        CHECK(text_of(ended, "result") == "completed");
    }
    check_invariants(cell.worker_journal(), cell.executor_journal());
}

TEST_CASE("while the log is down quick requests are served and batch jobs are refused with a reason") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    REQUIRE(http("PUT", cell.log_port(), "/faults", R"({"fault":"down"})").status / 100 == 2);

    // The outcome of the first append may be unknown; later jobs are refused before anything is appended.
    std::vector<std::string> not_run;
    for (int number = 0; number < 5; ++number) {
        const auto key = "during-outage-" + std::to_string(number);
        const auto answer = cell.submit(number % 3, key, 100ms);
        INFO(answer.body.dump());
        CHECK(answer.text("state") != "accepted");
        if (answer.text("state") == "refused") {
            CHECK(answer.text("result") == "not_run");
            CHECK(answer.text("reason").find("log") != std::string::npos);
            not_run.push_back(key);
        }
    }
    CHECK_FALSE(not_run.empty());
    for (int host = 0; host < 3; ++host) {
        CHECK(cell.preview(host, "outage-" + std::to_string(host)).text("result") == "completed");
    }

    REQUIRE(http("DELETE", cell.log_port(), "/faults").status / 100 == 2);
    CHECK(wait_until([&] { return cell.submit(0, "after-outage", 100ms).text("state") == "accepted"; }, 10s));
    CHECK(text_of(cell.wait_for_end(1, "after-outage", 10s), "result") == "completed");
    for (const auto& key : not_run) {
        CHECK(count_task_starts(cell.worker_journal(), "tabua/" + key) == 0);
    }
    check_invariants(cell.worker_journal(), cell.executor_journal());
}

TEST_CASE("a graceful shutdown moves the shards to other hosts and aborts no request") {
    cell_fixture cell{{}};
    cell.wait_until_serving();
    cell.apply_first_note();
    REQUIRE(cell.submit(0, "long", 3000ms).text("state") == "accepted");
    cell.host(2).signal(SIGTERM);
    CHECK(cell.host(2).wait() == 0);
    const auto ended = cell.wait_for_end(0, "long", 10s);
    INFO(ended.dump());
    INFO(http("GET", cell.front_port(0), "/v1/timeline").body);
    INFO(http("GET", cell.front_port(1), "/v1/timeline").body);
    CHECK(text_of(ended, "result") == "completed");
    CHECK(count_task_starts(cell.worker_journal(), "tabua/long") == 1);
    check_invariants(cell.worker_journal(), cell.executor_journal());
}
