#include "routing/admission_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::routing;
using namespace std::chrono_literals;

namespace {

const core::steady_time now = core::steady_time{} + 1h;

waiting_request request(std::uint64_t ticket, const std::string& team, const std::string& pool = "previews") {
    return {.ticket = ticket,
            .pool = core::pool_id{pool},
            .team = core::team_id{team},
            .service = core::service_id{"templates"},
            .deadline = now + 1s};
}

/// @return the requests that get a slot if that many slots are free.
std::vector<waiting_request> assign_slots(admission_queue& queue, std::size_t slots) {
    std::vector<waiting_request> served;
    queue.assign_slots([&](const waiting_request& next) {
        if (served.size() == slots) {
            return false;
        }
        served.push_back(next);
        return true;
    });
    return served;
}

} // namespace

TEST_CASE("a pool whose queue is full does not take queue space from another pool") {
    admission_queue queue{{.pool_limit = 3}};
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
        REQUIRE(queue.push(request(ticket, "suva"), now));
    }
    REQUIRE_FALSE(queue.push(request(4, "suva"), now));
    REQUIRE(queue.push(request(5, "suva", "receipts"), now));
    REQUIRE(queue.size() == 4);
    REQUIRE(assign_slots(queue, 1).size() == 1);
}

TEST_CASE("dropping expired requests makes room for requests that can still be served") {
    admission_queue queue{{.pool_limit = 2, .min_run_time = 10ms}};
    auto late = request(1, "suva");
    late.deadline = now + 15ms;
    REQUIRE(queue.push(late, now));
    REQUIRE(queue.push(request(2, "suva"), now));
    REQUIRE(queue.drop_expired(now + 5ms).empty());
    REQUIRE(queue.drop_expired(now + 6ms) == std::vector<std::uint64_t>{1});
    REQUIRE(queue.push(request(3, "suva"), now + 6ms));
    REQUIRE_FALSE(queue.push(late, now + 6ms));
    REQUIRE(assign_slots(queue, 5).size() == 2);
}

TEST_CASE("a team that floods the queue does not delay another team") {
    admission_queue queue{{.pool_limit = 1000}};
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket) {
        REQUIRE(queue.push(request(ticket, "exporter"), now));
    }
    for (std::uint64_t ticket = 101; ticket <= 110; ++ticket) {
        REQUIRE(queue.push(request(ticket, "vendor"), now));
    }
    std::map<core::team_id, int> served;
    for (const auto& one : assign_slots(queue, 20)) {
        ++served[one.team];
    }
    REQUIRE(served[core::team_id{"vendor"}] == 10);
    REQUIRE(served[core::team_id{"exporter"}] == 10);
}

TEST_CASE("requests are served by urgency, then by priority, then in order of arrival") {
    admission_queue queue{{}};
    auto urgent = request(4, "suva", "urgent");
    urgent.urgent = true;
    auto high = request(3, "suva", "high");
    high.priority = 9;
    for (const auto& one : {request(1, "suva"), request(2, "suva"), high, urgent}) {
        REQUIRE(queue.push(one, now));
    }
    std::vector<std::uint64_t> order;
    for (const auto& one : assign_slots(queue, 4)) {
        order.push_back(one.ticket);
    }
    REQUIRE(order == std::vector<std::uint64_t>{4, 3, 1, 2});
}

TEST_CASE("a service without free slots does not delay requests for another service") {
    admission_queue queue{{}};
    REQUIRE(queue.push(request(1, "suva"), now));
    auto other = request(2, "suva");
    other.service = core::service_id{"prices"};
    REQUIRE(queue.push(other, now));
    std::vector<std::uint64_t> served;
    queue.assign_slots([&](const waiting_request& next) {
        const bool free = next.service == core::service_id{"prices"};
        if (free) {
            served.push_back(next.ticket);
        }
        return free;
    });
    REQUIRE(served == std::vector<std::uint64_t>{2});
    REQUIRE(queue.size() == 1);
}
