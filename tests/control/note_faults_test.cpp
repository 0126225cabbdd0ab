#include "tests/control/simulated_cell.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace rattanmount;
using namespace rattanmount::tests;
using namespace std::chrono_literals;

namespace {

const core::pool_id sheets{"sheets"};

release::release_note priority_note(simulated_cell& cell, const std::string& id, std::uint32_t priority) {
    const auto& policies = cell.host(0)->configuration().policies();
    release::release_note note{.id = core::note_id{id}, .author = "author of " + id};
    note.items.push_back({.change = release::item_change::change,
                          .replaces = policies.revision(sheets),
                          .policy = release::pool_policy{.name = sheets, .priority = priority}});
    return note;
}

std::uint32_t priority_at(simulated_cell& cell, int host) {
    const auto* pool = cell.host(host)->configuration().policies().pool(sheets);
    return pool == nullptr ? 0 : pool->priority;
}

core::note_answer propose(simulated_cell& cell, int host, const release::release_note& note) {
    std::optional<core::note_answer> answer;
    cell.propose(host, note, [&](const core::note_answer& given) { answer = given; });
    cell.run_for(7s);
    REQUIRE(answer);
    return *answer;
}

} // namespace

TEST_CASE("of two notes on the same base one is accepted; the refusal names the item and the other note") {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        simulated_cell cell{{.seed = seed}};
        cell.run_for(3s);
        cell.apply_first_note();
        const auto left = priority_note(cell, "left", 300);
        const auto right = priority_note(cell, "right", 400);
        std::optional<core::note_answer> left_answer;
        std::optional<core::note_answer> right_answer;
        cell.propose(1, left, [&](const auto& given) { left_answer = given; });
        cell.propose(2, right, [&](const auto& given) { right_answer = given; });
        cell.run_for(7s);
        REQUIRE(left_answer);
        REQUIRE(right_answer);
        const bool left_won = left_answer->verdict == core::note_verdict::accepted;
        CHECK((left_won ? right_answer : left_answer)->verdict == core::note_verdict::refused);
        CHECK((left_won ? left_answer : right_answer)->verdict == core::note_verdict::accepted);
        const auto reason = (left_won ? right_answer : left_answer)->reason;
        INFO(reason);
        CHECK(reason.find("sheets") != std::string::npos);
        CHECK(reason.find(left_won ? "left" : "right") != std::string::npos);
        for (int host = 0; host < 3; ++host) {
            CHECK(priority_at(cell, host) == (left_won ? 300 : 400));
        }
        // Repeating a note through another host returns the same verdict.
        CHECK(propose(cell, 0, left).verdict == left_answer->verdict);
        CHECK(propose(cell, 0, right).verdict == right_answer->verdict);
    }
}

TEST_CASE("a note is accepted once it is in force on every live host; pending names the missing hosts") {
    simulated_cell cell{{}};
    cell.run_for(3s);
    cell.apply_first_note();
    cell.cut(2, true, false, false);
    const auto note = priority_note(cell, "pending", 500);
    const auto answer = propose(cell, 0, note);
    CHECK(answer.verdict == core::note_verdict::pending);
    CHECK(answer.missing == std::vector<core::host_id>{core::host_id{"entry-2"}});
    CHECK(priority_at(cell, 2) == 100);
    cell.heal(2);
    cell.run_for(10s);
    CHECK(propose(cell, 0, note).verdict == core::note_verdict::accepted);
    CHECK(priority_at(cell, 2) == 500);
}

TEST_CASE("an accepted note stays in force across restarts of all hosts and expiry of log entries") {
    simulated_cell cell{{}};
    cell.run_for(3s);
    cell.apply_first_note();
    const auto note = priority_note(cell, "kept", 600);
    REQUIRE(propose(cell, 1, note).verdict == core::note_verdict::accepted);
    // Long enough for a snapshot after the note.
    cell.run_for(50s);
    const core::stream_id config{"rattanmount-config"};
    REQUIRE(cell.log().streams().at(config).size() > 2);
    cell.log().keep_newest(config, 2);
    for (int host = 0; host < 3; ++host) {
        cell.kill(host);
    }
    for (int host = 0; host < 3; ++host) {
        cell.restart(host);
    }
    cell.run_for(10s);
    for (int host = 0; host < 3; ++host) {
        CHECK(priority_at(cell, host) == 600);
    }
    CHECK(propose(cell, 2, note).verdict == core::note_verdict::accepted);
}

TEST_CASE("a host that starts while the log is down takes the configuration from a peer") {
    simulated_cell cell{{}};
    cell.run_for(3s);
    cell.apply_first_note();
    REQUIRE(propose(cell, 0, priority_note(cell, "before", 700)).verdict == core::note_verdict::accepted);
    cell.set_log_down(true);
    cell.run_for(5s);
    cell.kill(1);
    cell.restart(1);
    cell.run_for(5s);
    CHECK(cell.host(1)->ready());
    CHECK(priority_at(cell, 1) == 700);
    cell.set_log_down(false);
    cell.run_for(10s);
    CHECK(propose(cell, 1, priority_note(cell, "after", 800)).verdict == core::note_verdict::accepted);
    CHECK(priority_at(cell, 2) == 800);
}

TEST_CASE("jobs survive snapshots, the expiry of their records and the restart of all hosts") {
    simulated_cell cell{{}};
    cell.run_for(3s);
    cell.apply_first_note();
    for (int number = 0; number < 20; ++number) {
        cell.submit(number % 3, batch_job("kept-" + std::to_string(number), 70s));
    }
    cell.run_for(60s);
    for (const auto& [stream, entries] : std::map{cell.log().streams()}) {
        // The latest snapshot is at most 20 s old; the records of the submissions are older.
        INFO(stream.value() << " has " << entries.size() << " entries");
        cell.log().keep_newest(stream, 3);
    }
    for (int host = 0; host < 3; ++host) {
        cell.kill(host);
    }
    for (int host = 0; host < 3; ++host) {
        cell.restart(host);
    }
    cell.run_for(120s);
    for (const auto& breach : cell.violations()) {
        FAIL_CHECK(breach);
    }
    for (const auto& [id, job] : cell.jobs()) {
        const auto last = cell.status(id);
        INFO(id.text() << ": " << (last ? last->reason : "no owner"));
        CHECK((last && last->state == core::answer_state::ended));
        CHECK((last && last->result == core::outcome::completed));
    }
}
