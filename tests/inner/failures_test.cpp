#include "core/errors.h"
#include "inner/inner.h"
#include "tests/inner/sample_messages.h"
#include "tests/inner/scripted_peer.h"
#include "tests/inner/stalling_proxy.h"

#include <catch2/catch.hpp>

#include <future>
#include <tuple>

using namespace rattanmount;
using namespace rattanmount::inner;
using namespace std::chrono_literals;
using apache::thrift::transport::TSocket;

namespace {

constexpr core::milliseconds call_limit{2000};
constexpr core::milliseconds short_limit{150};
const core::shard_id shard{5};
const core::endpoint any_port{.address = "127.0.0.1", .port = 0, .path = ""};

cell::peer_calls echo_calls() {
    return {.heartbeat = [](const cell::peer_view& view, core::milliseconds) { return view; },
            .status = [](core::shard_id, const core::job_id&, core::milliseconds) { return sample_answer(); },
            .timeline = [](core::milliseconds) { return std::string{"{}\n"}; }};
}

cell::slot_grant reserve(const cell::peer_calls& peer, core::milliseconds limit) {
    return peer.reserve_slot(shard, core::service_id{"template"}, core::incarnation_id{"a:1"}, 1s, limit);
}

/// @return the answer of a real server to a request frame.
std::string recorded_answer(const std::string& request_frame, const cell::peer_calls& calls = echo_calls()) {
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    TSocket connection{"127.0.0.1", server.endpoint().port};
    connection.open();
    scripted_peer::write(connection, request_frame);
    return scripted_peer::read_frame(connection);
}

core::milliseconds measure_duration(const std::function<void()>& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

TEST_CASE("a call to a peer that refuses the connection fails as certainly not executed") {
    core::endpoint closed;
    {
        inner_server server{{.listen = any_port}};
        server.start();
        closed = server.endpoint();
    }
    const auto peer = make_peer_connector({})(closed);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::unavailable);
    CHECK_THROWS_AS(reserve(peer, call_limit), core::unavailable);
}

TEST_CASE("a call without an answer times out with an unknown outcome and its connection is not reused") {
    scripted_peer silent{[](TSocket& connection, int) { scripted_peer::wait_for_end(connection); }};
    const auto peer = make_peer_connector({})(silent.endpoint());
    const auto elapsed = measure_duration(
        [&] { CHECK_THROWS_AS(peer.status(shard, sample_id(), short_limit), core::outcome_unknown); });
    CHECK(elapsed >= short_limit);
    CHECK(elapsed < 3 * short_limit);
    CHECK(silent.accepted == 1); // A timed-out call is not retried, even if it is idempotent.
    CHECK_THROWS_AS(reserve(peer, short_limit), core::outcome_unknown);
    CHECK(silent.accepted == 2);
}

TEST_CASE("a peer that sends its answer byte by byte does not extend the time limit") {
    scripted_peer trickling{[](TSocket& connection, int) {
        const auto answer = recorded_answer(scripted_peer::read_frame(connection));
        try {
            for (const char byte : answer) {
                scripted_peer::write(connection, std::string(1, byte));
                std::this_thread::sleep_for(20ms);
            }
        } catch (const apache::thrift::TException&) {
            return; // The caller has timed out.
        }
    }};
    const auto peer = make_peer_connector({})(trickling.endpoint());
    const auto elapsed = measure_duration(
        [&] { CHECK_THROWS_AS(peer.status(shard, sample_id(), short_limit), core::outcome_unknown); });
    CHECK(elapsed < 3 * short_limit);
}

TEST_CASE("an idempotent call is retried once if a reused connection breaks, and other calls are not") {
    // Answers the first request of the first connection, then reads the second and closes without an answer.
    std::atomic<int> requests{0};
    scripted_peer breaking{[&](TSocket& connection, int number) {
        try {
            scripted_peer::write(connection, recorded_answer(scripted_peer::read_frame(connection)));
            requests++;
            const auto second = scripted_peer::read_frame(connection);
            requests++;
            if (number > 0) {
                scripted_peer::write(connection, recorded_answer(second));
            }
        } catch (const apache::thrift::transport::TTransportException& error) {
            if (error.getType() == apache::thrift::transport::TTransportException::INTERRUPTED) {
                throw;
            }
        }
    }};
    const auto peer = make_peer_connector({})(breaking.endpoint());
    CHECK(peer.status(shard, sample_id(), call_limit).is_owner);
    SECTION("idempotent") {
        CHECK(peer.status(shard, sample_id(), call_limit).is_owner);
        CHECK(breaking.accepted == 2);
    }
    SECTION("not idempotent") {
        CHECK_THROWS_AS(reserve(peer, call_limit), core::outcome_unknown);
        CHECK(requests == 2);
        CHECK(breaking.accepted == 1);
    }
}

// UNASKED: the first try may have been carried out, whatever the peer says of the second.
TEST_CASE("a retried call whose second try is refused has an unknown outcome") {
    auto refusing_calls = echo_calls();
    refusing_calls.status = [](auto&&...) -> decltype(sample_answer()) {
        throw core::unavailable("not now");
    };
    scripted_peer peer_process{[&](TSocket& connection, int number) {
        if (number > 0) {
            const auto request = scripted_peer::read_frame(connection);
            scripted_peer::write(connection, recorded_answer(request, refusing_calls));
            scripted_peer::wait_for_end(connection);
            return;
        }
        scripted_peer::write(connection, recorded_answer(scripted_peer::read_frame(connection)));
        std::ignore = scripted_peer::read_frame(connection); // Closes the connection without an answer.
    }};
    const auto peer = make_peer_connector({})(peer_process.endpoint());
    CHECK(peer.status(shard, sample_id(), call_limit).is_owner);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::outcome_unknown);
    CHECK(peer_process.accepted == 2);
}

TEST_CASE(
    "a connection that the peer closed while it was idle is replaced, also for calls that are not retried") {
    auto calls = echo_calls();
    calls.reserve_slot = [](auto&&...) { return sample_grant(); };
    auto first = std::make_unique<inner_server>(inner_server_options{.listen = any_port, .calls = calls});
    first->start();
    const auto address = first->endpoint();
    const auto peer = make_peer_connector({})(address);
    CHECK(reserve(peer, call_limit).granted);
    first.reset();
    inner_server second{{.listen = address, .calls = calls}};
    second.start();
    CHECK(reserve(peer, call_limit).granted);
}

TEST_CASE("after a timeout on one connection the other idle connections are not reused") {
    std::atomic<int> held{0};
    std::promise<void> release;
    const auto released = release.get_future().share();
    auto calls = echo_calls();
    calls.status = [&](auto&&...) {
        held++;
        released.wait();
        return sample_answer();
    };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    stalling_proxy proxy{server.endpoint()};
    const auto peer = make_peer_connector({})(proxy.endpoint());
    const auto status = [&] { return peer.status(shard, sample_id(), call_limit); };
    auto first = std::async(std::launch::async, status);
    auto second = std::async(std::launch::async, status);
    while (held < 2) {
        std::this_thread::sleep_for(1ms);
    }
    release.set_value();
    CHECK(first.get().is_owner);
    CHECK(second.get().is_owner);
    REQUIRE(proxy.accepted == 2);

    proxy.stall_open_connections();
    CHECK_THROWS_AS(peer.timeline(short_limit), core::outcome_unknown);
    CHECK(peer.timeline(call_limit) == "{}\n");
    CHECK(proxy.accepted == 3);
}

// CONFIG: a host asked several peers in turn, each over a kept connection that was silent, and each for the
// whole limit.
TEST_CASE("a read of the log through a peer is repeated over a new connection if a kept one is silent") {
    auto calls = echo_calls();
    calls.read_log = [](auto&&...) { return cell::log_read_answer{.status = cell::log_status::done}; };
    calls.newest_log = [](auto&&...) { return cell::log_newest_answer{.status = cell::log_status::done}; };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    stalling_proxy proxy{server.endpoint()};
    const auto peer = make_peer_connector({})(proxy.endpoint());
    REQUIRE(peer.timeline(call_limit) == "{}\n");

    proxy.stall_open_connections();
    CHECK_NOTHROW(peer.read_log("cell", {.from = core::log_offset{3}}, call_limit));
    CHECK(proxy.accepted == 2);
    proxy.stall_open_connections();
    CHECK_NOTHROW(peer.newest_log("cell", call_limit));
    CHECK(proxy.accepted == 3);
    proxy.stall_open_connections();
    CHECK_THROWS_AS(peer.status(shard, sample_id(), short_limit), core::outcome_unknown);
    CHECK(proxy.accepted == 3); // Other calls take as long as they need.
}

TEST_CASE("an answer that cannot be decoded leaves the outcome unknown") {
    scripted_peer broken{[](TSocket& connection, int number) {
        const auto request = scripted_peer::read_frame(connection);
        auto answer = recorded_answer(request);
        if (number == 0) {
            answer.resize(answer.size() - 3); // Truncated.
        } else {
            answer.assign("\0\0\0\4abcd", 8); // Not a Thrift message.
        }
        scripted_peer::write(connection, answer);
    }};
    const auto peer = make_peer_connector({})(broken.endpoint());
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::outcome_unknown);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::outcome_unknown);
}

TEST_CASE("errors of the serving host are passed to the caller") {
    auto calls = echo_calls();
    calls.submit = [](auto&&...) -> cell::owner_answer { throw core::invalid_argument("tasks: too many"); };
    calls.cancel = [](auto&&...) -> cell::owner_answer { throw core::unavailable("starting"); };
    calls.explain = [](auto&&...) -> cell::owner_answer { throw core::outcome_unknown("log is slow"); };
    calls.take_job = [](auto&&...) -> cell::owner_answer { throw std::runtime_error("defect"); };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({})(server.endpoint());
    CHECK_THROWS_WITH(peer.submit(shard, sample_spec(), call_limit), "tasks: too many");
    CHECK_THROWS_AS(peer.submit(shard, sample_spec(), call_limit), core::invalid_argument);
    CHECK_THROWS_AS(peer.cancel(shard, sample_id(), call_limit), core::unavailable);
    CHECK_THROWS_AS(peer.explain(shard, sample_id(), call_limit), core::outcome_unknown);
    CHECK_THROWS_AS(peer.take_job(shard, sample_spec(), {}, call_limit), core::outcome_unknown);
    CHECK_THROWS_AS(reserve(peer, call_limit), core::unavailable); // The hook is not set.
    CHECK(server.counters().connections == 1);                     // An error is a complete answer.
}

TEST_CASE("client and server reject messages that are too large") {
    constexpr std::size_t max_bytes = 20'000;
    auto calls = echo_calls();
    std::atomic<int> ran{0};
    calls.submit = [&](auto&&...) {
        ran++;
        return sample_answer();
    };
    calls.timeline = [](core::milliseconds) { return std::string(2 * max_bytes, 'x'); };
    inner_server server{{.listen = any_port, .max_message_bytes = max_bytes, .calls = calls}};
    server.start();
    auto large = sample_spec();
    large.payload.assign(2 * max_bytes, 'x');
    const auto unbounded = make_peer_connector({})(server.endpoint());
    CHECK_THROWS_AS(unbounded.submit(shard, large, call_limit), core::outcome_unknown);
    CHECK(ran == 0);
    CHECK(unbounded.submit(shard, sample_spec(), call_limit).is_owner);
    const auto bounded = make_peer_connector({.max_message_bytes = max_bytes})(server.endpoint());
    CHECK_THROWS_AS(bounded.timeline(call_limit), core::outcome_unknown);
}

TEST_CASE("the message size limit does not apply to the total traffic of a connection") {
    constexpr std::size_t max_bytes = 20'000;
    auto calls = echo_calls();
    calls.timeline = [](core::milliseconds) { return std::string(max_bytes / 2, 'x'); };
    inner_server server{{.listen = any_port, .max_message_bytes = max_bytes, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({.max_message_bytes = max_bytes})(server.endpoint());
    for (int i = 0; i < 20; i++) {
        CHECK(peer.timeline(call_limit).size() == max_bytes / 2);
    }
    CHECK(server.counters().connections == 1);
}

TEST_CASE("a slow call does not delay heartbeats, and a call without a free connection fails unsent") {
    std::promise<void> release;
    const auto released = release.get_future().share();
    std::promise<void> entered;
    auto calls = echo_calls();
    std::atomic<int> slow_calls{0};
    calls.status = [&](auto&&...) {
        slow_calls++;
        entered.set_value();
        released.wait();
        return sample_answer();
    };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({.max_connections = 1})(server.endpoint());
    auto slow = std::async(std::launch::async, [&] { return peer.status(shard, sample_id(), call_limit); });
    entered.get_future().wait();
    CHECK_THROWS_AS(reserve(peer, short_limit), core::unavailable);
    CHECK(peer.heartbeat(sample_view(), call_limit) == sample_view());
    release.set_value();
    CHECK(slow.get().is_owner);
    CHECK(slow_calls == 1);
}

TEST_CASE("a graceful stop lets a running call finish and refuses new connections") {
    std::promise<void> entered;
    std::atomic<bool> ended{false};
    auto calls = echo_calls();
    calls.status = [&](auto&&...) {
        entered.set_value();
        std::this_thread::sleep_for(200ms);
        ended = true;
        return sample_answer();
    };
    inner_server server{{.listen = any_port, .quiet_time = 20ms, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({})(server.endpoint());
    auto slow = std::async(std::launch::async, [&] { return peer.status(shard, sample_id(), call_limit); });
    entered.get_future().wait();
    server.stop(call_limit);
    CHECK(ended);
    CHECK(slow.get().is_owner);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::unavailable);
}

TEST_CASE("a stop takes at most its grace time plus the time limits of the running hooks") {
    std::promise<void> entered;
    auto calls = echo_calls();
    calls.status = [&](auto&&...) {
        entered.set_value();
        std::this_thread::sleep_for(200ms);
        return sample_answer();
    };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({})(server.endpoint());
    auto slow = std::async(std::launch::async, [&] { return peer.status(shard, sample_id(), call_limit); });
    entered.get_future().wait();
    CHECK(measure_duration([&] { server.stop(10ms); }) < 1s);
    CHECK_THROWS_AS(slow.get(), core::outcome_unknown);
}

TEST_CASE("concurrent callers each get their own answer") {
    auto calls = echo_calls();
    calls.explain = [](core::shard_id, const core::job_id& id, core::milliseconds) {
        auto answer = sample_answer();
        answer.explanation = {id.key.value()};
        return answer;
    };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({})(server.endpoint());
    constexpr int caller_count = 8;
    std::vector<std::future<int>> callers;
    callers.reserve(caller_count);
    constexpr int calls_each = 100;
    for (int caller = 0; caller < caller_count; caller++) {
        callers.push_back(std::async(std::launch::async, [&peer, caller] {
            int correct = 0;
            for (int i = 0; i < calls_each; i++) {
                const auto key = std::to_string(caller) + "." + std::to_string(i);
                const core::job_id id{.team = core::team_id{"tabua"}, .key = core::request_key{key}};
                correct += peer.explain(shard, id, call_limit).explanation == std::vector{key} ? 1 : 0;
            }
            return correct;
        }));
    }
    for (auto& caller : callers) {
        CHECK(caller.get() == calls_each);
    }
    CHECK(server.counters().connections <= 4);
}
