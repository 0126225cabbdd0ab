#include "core/errors.h"
#include "runtime/record_store.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;

const std::vector<cell::keyed_record> items{{.key = "j1", .value = "x"}};

/// A record_store with scripted outcomes of local appends and of the leader. All calls run synchronously.
struct store_fixture {
    write_outcome local_outcome = write_outcome::stored;
    int local_appends = 0;
    int leader_calls = 0;
    int reported_stored = 0; ///< Records passed to on_stored.
    std::function<bool()> leader_answer = [] { return true; };
    std::optional<write_outcome> outcome;
    record_store store{
        {.append_locally =
             [this](const auto&, const log_writer::write_callback& done) {
                 this->local_appends++;
                 done(this->local_outcome);
             },
         .on_stored = [this](const auto& what) { this->reported_stored += static_cast<int>(what.size()); },
         .run_blocking = [](const std::function<void()>& work) { work(); }}};

    void connect_leader() {
        cell::peer_calls calls;
        calls.store_items = [this](const auto&, core::milliseconds) {
            this->leader_calls++;
            return this->leader_answer();
        };
        this->store.set_leader(
            peer_directory::peer{.incarnation = core::incarnation_id{"leader"}, .calls = calls});
    }

    write_outcome store_items_once() {
        this->outcome.reset();
        this->store.store(items, [this](write_outcome value) { this->outcome = value; });
        return this->outcome.value();
    }
};

} // namespace

TEST_CASE("records are stored through the leader, or appended locally if there is none") {
    store_fixture fixture;
    CHECK(fixture.store_items_once() == write_outcome::stored);
    CHECK(fixture.local_appends == 1);
    fixture.connect_leader();
    CHECK(fixture.store_items_once() == write_outcome::stored);
    CHECK(fixture.local_appends == 1);
    CHECK(fixture.leader_calls == 1);
    CHECK(fixture.reported_stored == 2);
}

TEST_CASE("an unreachable leader is not called again during the back-off") {
    store_fixture fixture;
    fixture.leader_answer = []() -> bool { throw core::unavailable("not reached"); };
    fixture.connect_leader();
    CHECK(fixture.store_items_once() == write_outcome::stored);
    CHECK(fixture.store_items_once() == write_outcome::stored);
    CHECK(fixture.leader_calls == 1);
    CHECK(fixture.local_appends == 2);
}

TEST_CASE("records are reported as refused only if no attempt may have stored them") {
    store_fixture fixture;
    fixture.local_outcome = write_outcome::refused;
    SECTION("the leader refused too") {
        fixture.leader_answer = [] { return false; };
        fixture.connect_leader();
        CHECK(fixture.store_items_once() == write_outcome::refused);
    }
    SECTION("the leader did not answer") {
        fixture.leader_answer = []() -> bool { throw core::outcome_unknown("no answer"); };
        fixture.connect_leader();
        CHECK(fixture.store_items_once() == write_outcome::unknown);
    }
}

TEST_CASE("storing for another host throws outcome_unknown if the log does not answer in time") {
    record_store store{{.append_locally = [](const auto&, const auto&) {},
                        .on_stored = [](const auto&) {},
                        .run_blocking = [](const std::function<void()>& work) { work(); }}};
    CHECK_THROWS_AS(store.store_for_peer(items, 10ms), core::outcome_unknown);
}

} // namespace rattanmount::tests
