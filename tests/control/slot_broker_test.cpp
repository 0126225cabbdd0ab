#include "control/slot_broker.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::control;
using namespace std::chrono_literals;

namespace {

using target_type = quick_route::target_type;

const core::steady_time start = core::steady_time{} + 1h;
const core::service_id templates{"templates"};

slot_need need(const std::string& team, core::milliseconds limit = 1000ms) {
    return {.request = {.pool = core::pool_id{"previews"},
                        .team = core::team_id{team},
                        .service = templates,
                        .deadline = start + limit},
            .attempt_limit = 500ms};
}

/// A broker with a settable number of local slots; collects its answers in order.
class broker_fixture {
public:
    explicit broker_fixture(std::size_t queue_limit = 100)
        : broker({.queue = {.pool_limit = queue_limit},
                  .max_peer_waiters = 2,
                  .reserve_local = [this](const core::service_id&, std::optional<core::shard_id>,
                                          core::milliseconds limit,
                                          core::steady_time now) -> std::optional<quick_route> {
                      if (this->free == 0) {
                          return std::nullopt;
                      }
                      --this->free;
                      return quick_route{.target = target_type::granted, .until = now + limit};
                  }}) {}

    void find(const slot_need& wanted, const std::string& name, core::steady_time now = start) {
        this->broker.find(wanted, now, [this, name](const quick_route& route) {
            this->answers.push_back(name);
            this->routes.push_back(route);
        });
    }

    int free = 0;
    std::vector<std::string> answers;
    std::vector<quick_route> routes;
    slot_broker broker;
};

cell::peer_view peer_with(std::uint32_t free_slots) {
    cell::peer_view view;
    view.inner.port = 7;
    view.shards.push_back(
        {.shard = core::shard_id{3}, .services = {{.service = templates, .free_slots = free_slots}}});
    return view;
}

} // namespace

TEST_CASE("a freed slot goes to the next waiting request at once, and new requests do not overtake") {
    broker_fixture fixture;
    fixture.find(need("suva"), "first");
    fixture.find(need("suva"), "second");
    REQUIRE(fixture.answers.empty());
    fixture.free = 1;
    fixture.find(need("suva"), "newcomer");
    REQUIRE(fixture.answers == std::vector<std::string>{"first"});
    fixture.free = 1;
    fixture.broker.serve(start);
    REQUIRE(fixture.answers == std::vector<std::string>{"first", "second"});
    REQUIRE(fixture.routes.back().target == target_type::granted);
}

TEST_CASE("requests beyond the queue limit are shed at once; expired requests are shed at their deadline") {
    broker_fixture fixture{1};
    fixture.find(need("suva", 50ms), "waits");
    fixture.find(need("suva"), "excess");
    REQUIRE(fixture.answers == std::vector<std::string>{"excess"});
    REQUIRE(fixture.routes.back().target == target_type::shed);
    // At the deadline the expired request leaves the queue, which makes room for one that can be served.
    fixture.find(need("suva"), "later", start + 50ms);
    REQUIRE(fixture.answers == std::vector<std::string>{"excess", "waits"});
    REQUIRE(fixture.routes.back().target == target_type::shed);
    fixture.free = 1;
    fixture.broker.serve(start + 60ms);
    REQUIRE(fixture.answers.back() == "later");
}

TEST_CASE("a slot is never granted for longer than the caller waits") {
    broker_fixture fixture;
    fixture.free = 2;
    fixture.find(need("suva", 200ms), "short");
    fixture.find(need("suva", 900ms), "long");
    REQUIRE(fixture.routes.at(0).until == start + 200ms);
    REQUIRE(fixture.routes.at(1).until == start + 500ms);
}

TEST_CASE("local slots come before a peer's; a peer that refuses is skipped until its next view") {
    broker_fixture fixture;
    fixture.broker.on_view(peer_with(1), start);
    fixture.free = 1;
    fixture.find(need("suva"), "own");
    fixture.find(need("suva"), "peer");
    REQUIRE(fixture.routes.at(0).target == target_type::granted);
    REQUIRE(fixture.routes.at(1).target == target_type::ask_peer);
    REQUIRE(fixture.routes.at(1).shard == core::shard_id{3});
    fixture.broker.on_peer_answer(core::shard_id{3}, templates, true, start);
    fixture.find(need("suva"), "waits");
    REQUIRE(fixture.answers.size() == 2);
    fixture.broker.on_view(peer_with(1), start + 300ms);
    REQUIRE(fixture.answers.back() == "waits");
    REQUIRE(fixture.routes.back().target == target_type::ask_peer);
}

TEST_CASE("a bounded number of peer requests wait for slots of the shard that they name") {
    broker_fixture fixture;
    fixture.broker.on_view(peer_with(5), start);
    auto ask = need("entry-2");
    ask.request.shard = core::shard_id{1};
    ask.request.pool = core::pool_id{"peers"};
    fixture.find(ask, "one");
    fixture.find(ask, "two");
    fixture.find(ask, "three");
    // A peer's request is never sent on to another host.
    REQUIRE(fixture.answers == std::vector<std::string>{"three"});
    REQUIRE(fixture.routes.back().target == target_type::shed);
    fixture.free = 1;
    fixture.broker.serve(start);
    REQUIRE(fixture.answers.back() == "one");
    fixture.find(ask, "four");
    REQUIRE(fixture.answers.back() == "one");
}
