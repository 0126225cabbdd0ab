#include "core/errors.h"
#include "inner/inner.h"
#include "tests/inner/fake_peer.h"
#include "tests/inner/scripted_peer.h"
#include "tests/inner/silencer.h"

#include <catch2/catch.hpp>

#include <future>

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

/// @return what the peer answers to each of the calls, taken from a real server.
std::string recorded_answer(const std::string& request_frame) {
    inner_server server{{.listen = any_port, .calls = echo_calls()}};
    server.start();
    TSocket connection{"127.0.0.1", server.endpoint().port};
    connection.open();
    scripted_peer::write(connection, request_frame);
    return scripted_peer::read_frame(connection);
}

core::milliseconds time_of(const std::function<void()>& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

TEST_CASE("a peer that refuses the connection was certainly not asked") {
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

TEST_CASE(
    "a call to a silent peer ends by its limit with an unknown fate and its connection is not used again") {
    scripted_peer silent{[](TSocket& connection, int) { scripted_peer::wait_for_end(connection); }};
    const auto peer = make_peer_connector({})(silent.endpoint());
    const auto elapsed =
        time_of([&] { CHECK_THROWS_AS(peer.status(shard, sample_id(), short_limit), core::fate_unknown); });
    CHECK(elapsed >= short_limit);
    CHECK(elapsed < 3 * short_limit);
    CHECK(silent.accepted == 1); // A timeout is not repeated, also where it could be.
    CHECK_THROWS_AS(reserve(peer, short_limit), core::fate_unknown);
    CHECK(silent.accepted == 2);
}

TEST_CASE("a peer that drips its answer does not stretch the limit") {
    scripted_peer dripping{[](TSocket& connection, int) {
        const auto answer = recorded_answer(scripted_peer::read_frame(connection));
        try {
            for (const char byte : answer) {
                scripted_peer::write(connection, std::string(1, byte));
                std::this_thread::sleep_for(20ms);
            }
        } catch (const apache::thrift::TException&) {
            return; // The caller has given up.
        }
    }};
    const auto peer = make_peer_connector({})(dripping.endpoint());
    const auto elapsed =
        time_of([&] { CHECK_THROWS_AS(peer.status(shard, sample_id(), short_limit), core::fate_unknown); });
    CHECK(elapsed < 3 * short_limit);
}

TEST_CASE("an idempotent call is repeated once where a reused connection broke, others are not") {
    // Answers the first request of the first connection and takes the second without an answer.
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
    CHECK(peer.status(shard, sample_id(), call_limit).owner);
    SECTION("idempotent") {
        CHECK(peer.status(shard, sample_id(), call_limit).owner);
        CHECK(breaking.accepted == 2);
    }
    SECTION("not idempotent") {
        CHECK_THROWS_AS(reserve(peer, call_limit), core::fate_unknown);
        CHECK(requests == 2);
        CHECK(breaking.accepted == 1);
    }
}

TEST_CASE("a connection that the peer closed while it was idle is replaced, also for calls sent once") {
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

TEST_CASE("after one connection went silent the other idle ones are not used either") {
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
    silencer middle{server.endpoint()};
    const auto peer = make_peer_connector({})(middle.endpoint());
    const auto status = [&] { return peer.status(shard, sample_id(), call_limit); };
    auto first = std::async(std::launch::async, status);
    auto second = std::async(std::launch::async, status);
    while (held < 2) {
        std::this_thread::sleep_for(1ms);
    }
    release.set_value();
    CHECK(first.get().owner);
    CHECK(second.get().owner);
    REQUIRE(middle.accepted == 2);

    middle.lose_open_connections();
    CHECK_THROWS_AS(peer.timeline(short_limit), core::fate_unknown);
    CHECK(peer.timeline(call_limit) == "{}\n");
    CHECK(middle.accepted == 3);
}

TEST_CASE("a broken answer leaves the fate unknown") {
    scripted_peer broken{[](TSocket& connection, int number) {
        const auto request = scripted_peer::read_frame(connection);
        auto answer = recorded_answer(request);
        if (number == 0) {
            answer.resize(answer.size() - 3); // Cut short.
        } else {
            answer.assign("\0\0\0\4abcd", 8); // No answer at all.
        }
        scripted_peer::write(connection, answer);
    }};
    const auto peer = make_peer_connector({})(broken.endpoint());
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::fate_unknown);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::fate_unknown);
}

TEST_CASE("the errors of the serving host reach the caller") {
    auto calls = echo_calls();
    calls.submit = [](auto&&...) -> cell::owner_answer { throw core::invalid_argument("tasks: too many"); };
    calls.cancel = [](auto&&...) -> cell::owner_answer { throw core::unavailable("starting"); };
    calls.explain = [](auto&&...) -> cell::owner_answer { throw core::fate_unknown("log is slow"); };
    calls.take_job = [](auto&&...) -> cell::owner_answer { throw std::runtime_error("defect"); };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto peer = make_peer_connector({})(server.endpoint());
    CHECK_THROWS_WITH(peer.submit(shard, sample_spec(), call_limit), "tasks: too many");
    CHECK_THROWS_AS(peer.submit(shard, sample_spec(), call_limit), core::invalid_argument);
    CHECK_THROWS_AS(peer.cancel(shard, sample_id(), call_limit), core::unavailable);
    CHECK_THROWS_AS(peer.explain(shard, sample_id(), call_limit), core::fate_unknown);
    CHECK_THROWS_AS(peer.take_job(shard, sample_spec(), {}, call_limit), core::fate_unknown);
    CHECK_THROWS_AS(reserve(peer, call_limit), core::unavailable); // The hook is not set.
    CHECK(server.counters().connections == 1);                     // Errors are whole answers.
}

TEST_CASE("messages that are too large are refused on both sides") {
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
    CHECK_THROWS_AS(unbounded.submit(shard, large, call_limit), core::fate_unknown);
    CHECK(ran == 0);
    CHECK(unbounded.submit(shard, sample_spec(), call_limit).owner);
    const auto bounded = make_peer_connector({.max_message_bytes = max_bytes})(server.endpoint());
    CHECK_THROWS_AS(bounded.timeline(call_limit), core::fate_unknown);
}

TEST_CASE("a connection lives on however much passed through it") {
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

TEST_CASE("a slow call holds up no heartbeat, and a full pool refuses without sending") {
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
    CHECK(slow.get().owner);
    CHECK(slow_calls == 1);
}

TEST_CASE("a graceful stop cuts no call that runs and refuses new connections") {
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
    CHECK(slow.get().owner);
    CHECK_THROWS_AS(peer.status(shard, sample_id(), call_limit), core::unavailable);
}

TEST_CASE("a stop takes no longer than its grace and the hooks' own limits") {
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
    CHECK(time_of([&] { server.stop(10ms); }) < 1s);
    CHECK_THROWS_AS(slow.get(), core::fate_unknown);
}

TEST_CASE("many callers at once each get their own answer") {
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
            int right = 0;
            for (int i = 0; i < calls_each; i++) {
                const auto key = std::to_string(caller) + "." + std::to_string(i);
                const core::job_id id{.team = core::team_id{"tabua"}, .key = core::request_key{key}};
                right += peer.explain(shard, id, call_limit).explanation == std::vector{key} ? 1 : 0;
            }
            return right;
        }));
    }
    for (auto& caller : callers) {
        CHECK(caller.get() == calls_each);
    }
    CHECK(server.counters().connections <= 4);
}
