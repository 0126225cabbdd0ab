#include "external/http_multiplexer.h"
#include "tests/external/scripted_server.h"
#include "tests/external/slow_reader.h"
#include "tests/external/stand_in_fixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <filesystem>
#include <iterator>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace platform_test;
using external::exchange_outcome;

namespace {

/// Collects the answers to calls of a multiplexer.
class answers {
public:
    external::http_multiplexer::answer_handler handler() {
        return [this](external::http_answer answer) {
            const std::lock_guard guard{this->mutex};
            this->got.push_back(std::move(answer));
            this->changed.notify_all();
        };
    }

    std::vector<external::http_answer> wait_for(std::size_t count, core::milliseconds limit) {
        std::unique_lock lock{this->mutex};
        this->changed.wait_for(lock, limit, [&] { return this->got.size() >= count; });
        return this->got;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<external::http_answer> got;
};

const external::http_message read_message{.method = "GET", .target = "/streams/a"};

void call(external::http_multiplexer& calls, const core::endpoint& peer, core::milliseconds limit,
          answers& received, const external::http_message& message = read_message) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    calls.post([&calls, peer, deadline, message, handler = received.handler()] {
        calls.call(peer, message, {.deadline = deadline}, handler);
    });
}

std::size_t threads_of_process() {
    const std::filesystem::directory_iterator tasks{"/proc/self/task"};
    return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

} // namespace

TEST_CASE("calls that wait for their servers occupy no thread") {
    log_fixture log;
    constexpr std::size_t count = 20;
    log.server.inject_fault({.kind = stand_ins::fault_kind::slow, .count = count, .length = 200ms});
    external::http_multiplexer calls{{}};
    const auto before = threads_of_process();
    answers received;
    for (std::size_t i = 0; i < count; i++) {
        call(calls, log.at(), 2s, received);
    }
    std::this_thread::sleep_for(50ms);
    // The stand-in runs one thread per connection in the same process.
    CHECK(threads_of_process() <= before + count);
    const auto got = received.wait_for(count, 3s);
    REQUIRE(got.size() == count);
    for (const auto& answer : got) {
        CHECK(answer.outcome == exchange_outcome::answered);
    }
}

TEST_CASE("an order that is longer than the send buffer is sent as the worker takes it") {
    constexpr std::size_t body_bytes = 32'000'000;
    const slow_reader server{body_bytes};
    external::http_multiplexer calls{{}};
    answers received;
    call(calls, server.at(), 5s, received,
         {.method = "POST", .target = "/", .body = std::string(body_bytes, 'x')});
    const auto got = received.wait_for(1, 6s);
    REQUIRE(got.size() == 1);
    CHECK(got.front().reason.empty());
    CHECK(got.front().outcome == exchange_outcome::answered);
}

TEST_CASE("a connection is reused, except after a timeout") {
    log_fixture log;
    external::http_multiplexer calls{{}};
    answers received;
    call(calls, log.at(), 1s, received);
    REQUIRE(received.wait_for(1, 2s).size() == 1);
    call(calls, log.at(), 1s, received);
    REQUIRE(received.wait_for(2, 2s).size() == 2);
    CHECK(calls.counters().connections == 1);
    log.server.inject_fault({.kind = stand_ins::fault_kind::silent_connections, .count = 1});
    call(calls, log.at(), 100ms, received);
    REQUIRE(received.wait_for(3, 2s).size() == 3);
    CHECK(received.wait_for(3, 0ms).back().outcome == exchange_outcome::timed_out);
    call(calls, log.at(), 1s, received);
    REQUIRE(received.wait_for(4, 2s).size() == 4);
    CHECK(received.wait_for(4, 0ms).back().outcome == exchange_outcome::answered);
    CHECK(calls.counters().connections == 2);
}

TEST_CASE("a call to an address without a server ends as not sent") {
    external::http_multiplexer calls{{}};
    answers received;
    call(calls, unused_endpoint(), 1s, received);
    const auto got = received.wait_for(1, 2s);
    REQUIRE(got.size() == 1);
    CHECK(got.front().outcome == exchange_outcome::not_sent);
}

TEST_CASE("an answer may arrive byte by byte, and a truncated answer ends as broken") {
    const bool whole = GENERATE(true, false);
    const std::string body = "abc";
    const auto length = std::to_string(body.size() + (whole ? 0 : 1));
    scripted_server server{"", "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body};
    external::http_multiplexer calls{{}};
    answers received;
    call(calls, server.at(), 3s, received);
    const auto got = received.wait_for(1, 4s);
    REQUIRE(got.size() == 1);
    CHECK(got.front().outcome == (whole ? exchange_outcome::answered : exchange_outcome::broken));
    CHECK(got.front().body == (whole ? body : ""));
}

TEST_CASE("calls beyond the connection limit of an endpoint wait for a connection until their deadline") {
    log_fixture log;
    log.server.inject_fault({.kind = stand_ins::fault_kind::slow, .count = 1, .length = 300ms});
    external::http_multiplexer calls{{.max_connections = 1}};
    answers received;
    call(calls, log.at(), 2s, received);
    call(calls, log.at(), 2s, received);
    const auto got = received.wait_for(2, 3s);
    REQUIRE(got.size() == 2);
    CHECK(got.back().outcome == exchange_outcome::answered);
    CHECK(calls.counters().connections == 1);
    log.server.inject_fault({.kind = stand_ins::fault_kind::freeze, .length = 2s});
    call(calls, log.at(), 2s, received);
    call(calls, log.at(), 50ms, received);
    const auto late = received.wait_for(3, 3s);
    REQUIRE(late.size() >= 3);
    CHECK(late[2].outcome == exchange_outcome::not_sent);
}

// Guards against processes that end because the handler of an answer throws on the multiplexer's thread.
TEST_CASE("calls continue after a handler of an answer that throws") {
    log_fixture log;
    external::http_multiplexer calls{{.max_connections = 1}};
    const auto throwing = [](const external::http_answer&) { throw std::runtime_error("odd answer"); };
    const auto call_throwing = [&](const core::endpoint& peer, core::milliseconds limit) {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        calls.post([&calls, peer, deadline, throwing] {
            calls.call(peer, read_message, {.deadline = deadline}, throwing);
        });
    };
    call_throwing(unused_endpoint(), 1s);
    call_throwing(log.at(), 1s);
    log.server.inject_fault({.kind = stand_ins::fault_kind::slow, .count = 1, .length = 300ms});
    call_throwing(log.at(), 100ms);
    call_throwing(log.at(), 50ms);
    answers received;
    call(calls, log.at(), 2s, received);
    const auto got = received.wait_for(1, 3s);
    REQUIRE(got.size() == 1);
    CHECK(got.front().outcome == exchange_outcome::answered);
}

// Guards against orders that wait in this host until the worker has restarted under the same name, and are
// then carried out by a process that knows nothing of earlier ones.
TEST_CASE("a call that waited is not sent to the process that replaced its server") {
    auto server = std::make_unique<Poco::Net::ServerSocket>(Poco::Net::SocketAddress{"127.0.0.1", 0});
    const core::endpoint at{.address = "127.0.0.1", .port = server->address().port()};
    answers received; // Outlives the multiplexer, whose last call ends when the server is destroyed.
    external::http_multiplexer calls{{.max_connections = 1}};
    const auto call_now = [&](const std::string& target) {
        const auto now = std::chrono::steady_clock::now();
        calls.post([&calls, at, target, now, handler = received.handler()] {
            calls.call(at, {.method = "GET", .target = target}, {.deadline = now + 2s, .issued_at = now},
                       handler);
        });
    };
    call_now("/first");
    auto first_life = server->acceptConnection();
    call_now("/waits");
    std::this_thread::sleep_for(50ms);
    first_life.close();
    const auto got = received.wait_for(2, 1s);
    REQUIRE(got.size() == 2);
    CHECK(got.back().outcome == exchange_outcome::not_sent);
    call_now("/later");
    auto second_life = server->acceptConnection();
    std::string request(1024, ' ');
    request.resize(
        static_cast<std::size_t>(second_life.receiveBytes(request.data(), static_cast<int>(request.size()))));
    CHECK(request.find("GET /later") == 0);
}
