#include "front/front.h"
#include "front/http_server.h"
#include "tests/front/fake_cell.h"
#include "tests/front/raw_http.h"

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace rattanmount;
using namespace rattanmount::front;
using namespace std::chrono_literals;

namespace {

const core::endpoint any_port{.address = "127.0.0.1", .port = 0, .path = ""};
constexpr core::milliseconds grace{5000};

/// Blocks the hooks that call pass() until the test calls open().
class gate {
public:
    void pass() {
        this->entered++;
        this->opened.wait();
    }
    void open() { this->promise.set_value(); }

    void await_entry() const {
        while (this->entered == 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    std::atomic<int> entered{0};

private:
    std::promise<void> promise;
    std::shared_future<void> opened = this->promise.get_future().share();
};

core::cell_calls cell_with_blocked_status(gate& status_gate) {
    auto calls = fake_cell();
    calls.status = [&status_gate, status = calls.status](const core::job_id& id, core::milliseconds limit) {
        status_gate.pass();
        return status(id, limit);
    };
    return calls;
}

const std::string status_target = "/v1/jobs/tabua/k1";

bool starts_with_status(const std::string& answer, int status) {
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

TEST_CASE("the response repeats the X-Request-Id of the request") {
    http_front server{{.listen = any_port, .max_threads = 2, .calls = fake_cell()}};
    server.start();
    const auto answer = exchange(
        server.endpoint(), request_text("GET", "/live", "", "X-Request-Id: a-1\r\nConnection: close\r\n"));
    CHECK(starts_with_status(answer, 200));
    CHECK_THAT(answer, Catch::Contains("X-Request-Id: a-1\r\n"));
}

// Guards against callers that get no answer because the handling of their request throws.
TEST_CASE("a request whose handler throws is answered with status 500 and the connection is kept") {
    http_server server{{.listen = any_port,
                        .handle = [](const http_request&) -> http_reply { throw std::out_of_range("odd"); },
                        .execute = [](const std::function<void()>& work) { work(); }}};
    server.start();
    const auto answer =
        exchange(server.endpoint(),
                 request_text("GET", "/a", "", "") + request_text("GET", "/b", "", "Connection: close\r\n"));
    CHECK(starts_with_status(answer, 500));
    CHECK(answer.rfind("HTTP/1.1 500") > 0);
    server.stop(grace);
}

TEST_CASE("a request with a too large or truncated body calls no hook") {
    auto calls = fake_cell();
    std::atomic<int> ran{0};
    calls.apply_note = [&](const std::string&, core::milliseconds) -> core::note_answer {
        ran++;
        return {};
    };
    http_front server{{.listen = any_port, .max_threads = 2, .max_body_bytes = 100, .calls = calls}};
    server.start();
    const auto large =
        exchange(server.endpoint(), request_text("POST", "/v1/notes", std::string(1000, ' ') + "{}"));
    CHECK(starts_with_status(large, 413));
    CHECK_THAT(large, Catch::Contains("\"result\":\"not_run\""));

    auto cut = connect_to(server.endpoint());
    send_text(cut, "POST /v1/notes HTTP/1.1\r\nHost: test\r\nContent-Length: 50\r\n\r\n{}");
    cut.shutdownSend();
    CHECK(starts_with_status(read_to_end(cut), 400));
    CHECK(ran == 0);
}

TEST_CASE("a request whose body arrives too slowly times out") {
    http_front server{{.listen = any_port, .max_threads = 1, .receive_timeout = 100ms, .calls = fake_cell()}};
    server.start();
    auto slow = connect_to(server.endpoint());
    send_text(slow, "POST /v1/notes HTTP/1.1\r\nHost: test\r\nContent-Length: 50\r\n\r\n{");
    const auto start = std::chrono::steady_clock::now();
    read_to_end(slow);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
    CHECK(starts_with_status(exchange(server.endpoint(), request_text("GET", "/live", "")), 200));
}

TEST_CASE("an overloaded server refuses requests with not_run and still answers health checks") {
    gate status_gate;
    http_front server{{.listen = any_port,
                       .max_threads = 1,
                       .max_queued = 1,
                       .calls = cell_with_blocked_status(status_gate)}};
    server.start();
    auto running = connect_to(server.endpoint());
    send_text(running, request_text("GET", status_target, ""));
    status_gate.await_entry();
    auto waiting = connect_to(server.endpoint());
    send_text(waiting, request_text("GET", status_target, ""));

    const auto refused = exchange(server.endpoint(), request_text("GET", status_target, ""));
    CHECK(starts_with_status(refused, 503));
    CHECK_THAT(refused, Catch::Contains("\"result\":\"not_run\""));
    CHECK(starts_with_status(exchange(server.endpoint(), request_text("GET", "/ready", "")), 200));
    CHECK(status_gate.entered == 1);

    status_gate.open();
    CHECK(starts_with_status(read_to_end(running), 200));
    CHECK(starts_with_status(read_to_end(waiting), 200));
    CHECK(status_gate.entered == 2);
}

TEST_CASE("an idle connection is closed when another connection waits for a thread") {
    http_front server{
        {.listen = any_port, .max_threads = 1, .keep_alive_timeout = 60s, .calls = fake_cell()}};
    server.start();
    auto idle = connect_to(server.endpoint());
    send_text(idle, request_text("GET", "/live", "", ""));
    std::array<char, 1024> chunk{};
    REQUIRE(idle.receiveBytes(chunk.data(), chunk.size()) > 0);
    const auto start = std::chrono::steady_clock::now();
    CHECK(starts_with_status(exchange(server.endpoint(), request_text("GET", "/live", "")), 200));
    CHECK(std::chrono::steady_clock::now() - start < 2s);
}

TEST_CASE("a new connection is not closed for a waiting one before its first request arrives") {
    http_front server{{.listen = any_port, .max_threads = 1, .calls = fake_cell()}};
    server.start();
    auto fresh = connect_to(server.endpoint());
    auto waiting = connect_to(server.endpoint());
    send_text(waiting, request_text("GET", "/live", ""));
    std::this_thread::sleep_for(150ms);
    send_text(fresh, request_text("GET", "/live", ""));
    CHECK(starts_with_status(read_to_end(fresh), 200));
    CHECK(starts_with_status(read_to_end(waiting), 200));
}

TEST_CASE("a connection that never completes its first request does not block its thread") {
    http_front server{{.listen = any_port, .max_threads = 1, .receive_timeout = 100ms, .calls = fake_cell()}};
    server.start();
    auto slow = connect_to(server.endpoint());
    std::atomic<bool> ended{false};
    auto sender = std::async(std::launch::async, [&] {
        try {
            send_text(slow, "GET /live HTTP/1.1\r\nX-Slow: ");
            while (!ended) {
                send_text(slow, "x");
                std::this_thread::sleep_for(20ms);
            }
        } catch (const Poco::Exception&) {
            return; // The server has closed the connection.
        }
    });
    std::this_thread::sleep_for(10ms);
    const auto start = std::chrono::steady_clock::now();
    CHECK(starts_with_status(exchange(server.endpoint(), request_text("GET", "/live", "")), 200));
    CHECK(std::chrono::steady_clock::now() - start < 2s);
    ended = true;
}

TEST_CASE("a graceful stop answers running, queued and arriving requests and refuses new connections") {
    gate status_gate;
    const auto max_threads = GENERATE(1U, 8U);
    CAPTURE(max_threads);
    http_front server{{.listen = any_port,
                       .max_threads = max_threads,
                       .quiet_time = 50ms,
                       .calls = cell_with_blocked_status(status_gate)}};
    server.start();
    auto idle = connect_to(server.endpoint());
    send_text(idle, request_text("GET", "/live", "", ""));
    std::array<char, 1024> chunk{};
    REQUIRE(idle.receiveBytes(chunk.data(), chunk.size()) > 0);
    auto running = connect_to(server.endpoint());
    send_text(running, request_text("GET", status_target, "", ""));
    status_gate.await_entry();
    auto queued = connect_to(server.endpoint());
    send_text(queued, request_text("GET", status_target, "", ""));

    auto stopped = std::async(std::launch::async, [&] { server.stop(grace); });
    while (true) {
        try {
            connect_to(server.endpoint());
            std::this_thread::sleep_for(1ms);
        } catch (const Poco::Exception&) {
            break; // The connection was refused.
        }
    }
    CHECK(stopped.wait_for(0ms) == std::future_status::timeout);
    if (max_threads > 1) { // With one thread, the idle connection was closed for the next one.
        send_text(idle, request_text("GET", "/ready", "", ""));
        CHECK(starts_with_status(read_to_end(idle), 503));
    }
    status_gate.open();
    const auto answer = read_to_end(running);
    CHECK(starts_with_status(answer, 200));
    CHECK_THAT(answer, Catch::Contains("Connection: Close"));
    CHECK(starts_with_status(read_to_end(queued), 200));
    stopped.get();
    CHECK(status_gate.entered == 2);
}

TEST_CASE("a stop closes idle connections immediately") {
    http_front server{{.listen = any_port,
                       .max_threads = 2,
                       .keep_alive_timeout = 60s,
                       .quiet_time = 20ms,
                       .calls = fake_cell()}};
    server.start();
    auto idle = connect_to(server.endpoint());
    send_text(idle, request_text("GET", "/live", "", ""));
    std::array<char, 1024> chunk{};
    REQUIRE(idle.receiveBytes(chunk.data(), chunk.size()) > 0);
    auto unused = connect_to(server.endpoint());
    const auto start = std::chrono::steady_clock::now();
    server.stop(grace);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
    CHECK(read_to_end(idle).empty());
}

TEST_CASE("concurrent callers each get the complete response to their own request") {
    http_front server{{.listen = any_port, .max_threads = 8, .calls = fake_cell()}};
    server.start();
    const api_client client{{.hosts = {server.endpoint()}}};
    constexpr int caller_count = 8;
    std::vector<std::future<int>> callers;
    callers.reserve(caller_count);
    constexpr int calls_each = 50;
    for (int caller = 0; caller < caller_count; caller++) {
        callers.push_back(std::async(std::launch::async, [&client, caller] {
            int right = 0;
            for (int i = 0; i < calls_each; i++) {
                auto request = sample_quick();
                request.body = std::string(10'000, static_cast<char>('a' + caller)) + std::to_string(i);
                const auto answer = client.quick(request, grace);
                right += answer.result == core::outcome::completed && answer.body == request.body ? 1 : 0;
            }
            return right;
        }));
    }
    for (auto& caller : callers) {
        CHECK(caller.get() == calls_each);
    }
}
