#include "routing/peer_rooms.h"
#include "routing/retry_budget.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace rattanmount;
using namespace rattanmount::routing;

namespace {

const core::service_id templates{"templates"};

core::endpoint peer(std::uint16_t number) {
    core::endpoint made;
    made.port = number;
    return made;
}

peer_rooms_options seeded() {
    return {.random = [engine = std::mt19937{7}](std::size_t bound) mutable { return engine() % bound; }};
}

peer_room room(std::uint32_t shard, std::uint32_t free) {
    return {.shard = core::shard_id{shard},
            .peer = peer(static_cast<std::uint16_t>(shard)),
            .service = templates,
            .free_slots = free};
}

} // namespace

TEST_CASE("requests between two heartbeats spread over the peers' room and stay within it") {
    peer_rooms rooms{seeded()};
    for (std::uint32_t shard = 1; shard <= 3; ++shard) {
        rooms.set(peer(static_cast<std::uint16_t>(shard)), {room(shard, 8)});
    }
    std::map<core::shard_id, int> asked;
    for (int request = 0; request < 24; ++request) {
        const auto choice = rooms.choose(templates);
        REQUIRE(choice);
        ++asked[choice->shard];
    }
    for (const auto& [shard, count] : asked) {
        REQUIRE(count == 8);
    }
    REQUIRE_FALSE(rooms.choose(templates));
}

TEST_CASE("a peer that gives no slot is left out until it is heard again") {
    peer_rooms rooms{seeded()};
    rooms.set(peer(1), {room(1, 8)});
    rooms.set(peer(2), {room(2, 1)});
    rooms.on_answer(core::shard_id{1}, templates, true);
    for (int request = 0; request < 2; ++request) {
        const auto choice = rooms.choose(templates);
        REQUIRE((!choice || choice->shard == core::shard_id{2}));
    }
    rooms.set(peer(1), {room(1, 4)});
    REQUIRE(rooms.choose(templates)->shard == core::shard_id{1});
}

TEST_CASE("under a service that always fails, retries stay a tenth of the requests") {
    retry_budget budget{{.per_request = 0.1, .most = 10}};
    int sent = 0;
    for (int request = 0; request < 10000; ++request) {
        budget.on_request();
        ++sent;
        while (budget.take()) {
            ++sent;
        }
    }
    REQUIRE(sent <= 11010);
    REQUIRE(sent >= 10990);
}
