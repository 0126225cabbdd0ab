#include "cell/membership.h"

#include <catch2/catch.hpp>

using namespace rattanmount;
using namespace std::chrono_literals;

namespace {

core::endpoint at(std::uint16_t port) {
    return {.address = "127.0.0.1", .port = port};
}

cell::peer_view view_of(const char* host, std::uint16_t port) {
    return {.host = core::host_id{host}, .incarnation = core::incarnation_id{host}, .inner = at(port)};
}

struct membership_fixture {
    membership_fixture() {
        this->members.on_fleet_list({{.name = core::host_id{"a"}, .inner = at(1)},
                                     {.name = core::host_id{"b"}, .inner = at(2)},
                                     {.name = core::host_id{"c"}, .inner = at(3)}});
    }

    cell::membership members{{.self = core::host_id{"b"}, .suspect_after = 3s, .heartbeat_interval = 1s}};
    core::steady_time start{1h};
};

} // namespace

TEST_CASE("a host sends heartbeats to all peers that it has not heard") {
    membership_fixture host;
    CHECK(host.members.heartbeat_targets(host.start) == std::vector{at(1), at(3)});
}

TEST_CASE("of two hosts that hear each other only one sends heartbeats") {
    membership_fixture host;
    host.members.on_view(view_of("a", 1), host.start);
    host.members.on_view(view_of("c", 3), host.start);
    CHECK(host.members.heartbeat_targets(host.start + 1s) == std::vector{at(3)});
    CHECK(host.members.known_peers(host.start + 1s) == std::vector{at(1), at(3)});
}

TEST_CASE("a peer whose heartbeat is overdue is called before it is suspected") {
    membership_fixture host;
    host.members.on_view(view_of("a", 1), host.start);
    CHECK(host.members.heartbeat_targets(host.start + 1600ms) == std::vector{at(1), at(3)});
    CHECK(host.members.is_live(core::incarnation_id{"a"}, host.start + 1600ms));
}
