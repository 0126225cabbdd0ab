#include "platform/connection_budget.h"
#include "platform/http_caller.h"
#include "tests/platform/stand_in_fixture.h"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace platform_test;
using platform::exchange_fate;

namespace {

/// Takes one connection, reads a bit, sends a text at once and another a byte at a time.
class dripping_server {
public:
    dripping_server(std::string at_once, std::string dripped)
        : socket(Poco::Net::SocketAddress{"127.0.0.1", 0}),
          worker([this, at_once = std::move(at_once), dripped = std::move(dripped)] {
              this->serve(at_once, dripped);
          }) {}

    [[nodiscard]] core::endpoint at() const {
        return {.address = "127.0.0.1", .port = this->socket.address().port()};
    }

private:
    void serve(const std::string& at_once, const std::string& dripped) {
        auto connection = this->socket.acceptConnection();
        std::array<char, 1024> ignored{};
        connection.receiveBytes(ignored.data(), ignored.size());
        try {
            connection.sendBytes(at_once.data(), static_cast<int>(at_once.size()));
            for (const char byte : dripped) {
                connection.sendBytes(&byte, 1);
                std::this_thread::sleep_for(10ms);
            }
        } catch (const Poco::Exception&) {
            // The client gave up, as it should.
        }
    }

    Poco::Net::ServerSocket socket;
    std::jthread worker;
};

} // namespace

TEST_CASE("the timeout is the total of a call, however the answer trickles in") {
    const bool in_head = GENERATE(true, false);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\nX-Correlation-Id: 1\r\n\r\n";
    dripping_server server{in_head ? "" : head, in_head ? "H" + std::string(200, 'T') : std::string(40, 'x')};
    platform::http_caller caller{{}};
    platform::http_answer answer;
    const auto elapsed =
        time_of([&] { answer = caller.call(server.at(), {.method = "GET", .target = "/"}, 100ms); });
    CHECK(elapsed >= 100ms);
    CHECK(elapsed < 200ms);
    CHECK(answer.fate == exchange_fate::timed_out);
    CHECK(caller.counters().failures == 1);
}

TEST_CASE("an answer without a length is not taken") {
    dripping_server server{"HTTP/1.1 200 OK\r\nX-Correlation-Id: 1\r\n\r\nabc", ""};
    platform::http_caller caller{{}};
    CHECK(caller.call(server.at(), {.method = "GET", .target = "/"}, 1s).fate == exchange_fate::broken);
}

TEST_CASE("a kept connection that the server closed is replaced before anything is sent") {
    log_fixture log;
    platform::http_caller caller{{}};
    const auto peer = log.at();
    const platform::http_message message{.method = "GET", .target = "/streams/a"};
    REQUIRE(caller.call(peer, message, 1s).status == 200);
    log.server.stop();
    CHECK(caller.call(peer, message, 1s).fate == exchange_fate::not_sent);
    CHECK(caller.connections().used(peer) == 0);
}

TEST_CASE("a caller waits for a connection no longer than allowed") {
    log_fixture log;
    log.server.order({.kind = stand_ins::fault_kind::slow, .count = 1, .length = 100ms});
    platform::http_caller caller{{.max_connections = 1, .max_wait = 1s}};
    const auto peer = log.at();
    const platform::http_message message{.method = "GET", .target = "/streams/a"};
    exchange_fate first_fate = exchange_fate::broken;
    std::jthread first{[&] { first_fate = caller.call(peer, message, 1s).fate; }};
    std::this_thread::sleep_for(20ms);
    CHECK(caller.call(peer, message, 20ms).fate == exchange_fate::not_sent);
    CHECK(caller.call(peer, message, 1s).fate == exchange_fate::answered);
    first.join();
    CHECK(first_fate == exchange_fate::answered);
    CHECK(caller.counters().connections == 1);
}

TEST_CASE("a budget counts open and lingering connections") {
    const core::steady_time start{1h};
    platform::connection_budget budget{2};
    CHECK(budget.take(start));
    CHECK(budget.take(start));
    CHECK_FALSE(budget.take(start));
    budget.linger(start + 5s);
    CHECK_FALSE(budget.take(start + 4s));
    CHECK(budget.next_release() == start + 5s);
    CHECK(budget.take(start + 5s));
    budget.give_back();
    CHECK(budget.take(start + 5s));
    CHECK(budget.used(start + 5s) == 2);
}
