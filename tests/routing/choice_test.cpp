#include "routing/peer_selector.h"
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

peer_selector_options seeded_options() {
    return {.random = [engine = std::mt19937{7}](std::size_t bound) mutable { return engine() % bound; }};
}

peer_capacity capacity_of(std::uint32_t shard, std::uint32_t free) {
    return {.shard = core::shard_id{shard},
            .peer = peer(static_cast<std::uint16_t>(shard)),
            .service = templates,
            .free_slots = free};
}

} // namespace

TEST_CASE("requests between two heartbeats are spread over the peers and stay within their free slots") {
    peer_selector selector{seeded_options()};
    for (std::uint32_t shard = 1; shard <= 3; ++shard) {
        selector.update(peer(static_cast<std::uint16_t>(shard)), {capacity_of(shard, 8)});
    }
    std::map<core::shard_id, int> asked;
    for (int request = 0; request < 24; ++request) {
        const auto choice = selector.choose(templates);
        REQUIRE(choice);
        ++asked[choice->shard];
    }
    for (const auto& [shard, count] : asked) {
        REQUIRE(count == 8);
    }
    REQUIRE_FALSE(selector.choose(templates));
}

TEST_CASE("a peer that refuses a slot is not selected until it reports again") {
    peer_selector selector{seeded_options()};
    selector.update(peer(1), {capacity_of(1, 8)});
    selector.update(peer(2), {capacity_of(2, 1)});
    selector.on_answer(core::shard_id{1}, templates, true);
    for (int request = 0; request < 2; ++request) {
        const auto choice = selector.choose(templates);
        REQUIRE((!choice || choice->shard == core::shard_id{2}));
    }
    selector.update(peer(1), {capacity_of(1, 4)});
    REQUIRE(selector.choose(templates)->shard == core::shard_id{1});
}

TEST_CASE("retries to a service that always fails stay at a tenth of the requests") {
    retry_budget budget{{.per_request = 0.1, .max_saved = 10}};
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
