#include "core/errors.h"
#include "runtime/record_store.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;

const std::vector<cell::keyed_bytes> items{{.key = "j1", .value = "x"}};

/// A store whose own appends and whose leader answer as told; everything runs at once.
struct store_fixture {
    write_fate here = write_fate::stored;
    int appended_here = 0;
    int asked_leader = 0;
    int known = 0; ///< Records that were told of as stored.
    std::function<bool()> leader_answer = [] { return true; };
    std::optional<write_fate> fate;
    record_store store{{.append_here =
                            [this](const auto&, const log_writer::settled& done) {
                                this->appended_here++;
                                done(this->here);
                            },
                        .stored = [this](const auto& what) { this->known += static_cast<int>(what.size()); },
                        .run_blocking = [](const std::function<void()>& work) { work(); }}};

    void meet_leader() {
        cell::peer_calls calls;
        calls.store_items = [this](const auto&, core::milliseconds) {
            this->asked_leader++;
            return this->leader_answer();
        };
        this->store.set_leader(
            peer_directory::peer{.incarnation = core::incarnation_id{"leader"}, .calls = calls});
    }

    write_fate put() {
        this->fate.reset();
        this->store.store(items, [this](write_fate told) { this->fate = told; });
        return this->fate.value();
    }
};

} // namespace

TEST_CASE("records go through the leader, and are appended here where there is none") {
    store_fixture one;
    CHECK(one.put() == write_fate::stored);
    CHECK(one.appended_here == 1);
    one.meet_leader();
    CHECK(one.put() == write_fate::stored);
    CHECK(one.appended_here == 1);
    CHECK(one.asked_leader == 1);
    CHECK(one.known == 2);
}

TEST_CASE("a leader that is not reached is left alone for a while") {
    store_fixture one;
    one.leader_answer = []() -> bool { throw core::unavailable("not reached"); };
    one.meet_leader();
    CHECK(one.put() == write_fate::stored);
    CHECK(one.put() == write_fate::stored);
    CHECK(one.asked_leader == 1);
    CHECK(one.appended_here == 2);
}

TEST_CASE("records are told as refused only where no try of storing them is in doubt") {
    store_fixture one;
    one.here = write_fate::refused;
    SECTION("the leader refused too") {
        one.leader_answer = [] { return false; };
        one.meet_leader();
        CHECK(one.put() == write_fate::refused);
    }
    SECTION("the leader did not answer") {
        one.leader_answer = []() -> bool { throw core::fate_unknown("no answer"); };
        one.meet_leader();
        CHECK(one.put() == write_fate::unknown);
    }
}

TEST_CASE("a host that stores for another says nothing where the log does not settle the records") {
    record_store store{{.append_here = [](const auto&, const auto&) {},
                        .stored = [](const auto&) {},
                        .run_blocking = [](const std::function<void()>& work) { work(); }}};
    CHECK_THROWS_AS(store.store_for_peer(items, 10ms), core::fate_unknown);
}

} // namespace rattanmount::tests
