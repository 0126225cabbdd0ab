#include "runtime/log_follower.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;
using cell::log_status;

bool wait_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(1ms);
    }
    return condition();
}

} // namespace

// Guards against processes that end because a read of the log or the handling of a batch throws on the
// follower's thread.
TEST_CASE("a follower continues after a read or a handler that throws") {
    std::atomic<int> newest_calls{0};
    std::atomic<int> reads{0};
    std::atomic<int> batches{0};
    std::atomic<std::uint64_t> last_from{0};
    cell::keyed_log log;
    log.newest = [&](auto) -> cell::log_newest_answer {
        if (newest_calls++ == 0) {
            throw std::runtime_error("the page cannot be read");
        }
        return {.status = log_status::done, .next = core::log_offset{7}};
    };
    log.read = [&](const auto& request, auto) -> cell::log_read_answer {
        last_from = request.from.value();
        if (reads++ == 0) {
            throw std::runtime_error("the reply cannot be read");
        }
        return {.status = log_status::done, .next = request.from.next(), .at_end = true};
    };
    log_follower follower{{.name = "workers",
                           .log = log,
                           .retry_interval = 5ms,
                           .read_interval = 5ms,
                           .sink = [&](const log_batch&) {
                               batches++;
                               throw std::runtime_error("the batch cannot be handled");
                           }}};
    CHECK(wait_until([&] { return reads >= 4 && batches >= 3; }));
    CHECK(newest_calls == 2);
    CHECK(last_from >= 9);
}

// The newest entries of a large cell take longer over a slow link than a silent connection should be waited
// for.
TEST_CASE("each failed read of the newest entries gives the next one more time, up to a limit") {
    std::mutex mutex;
    std::vector<core::milliseconds> limits;
    cell::keyed_log log;
    log.newest = [&](core::milliseconds limit) -> cell::log_newest_answer {
        const std::lock_guard guard{mutex};
        limits.push_back(limit);
        return {.status = limits.size() < 5 ? log_status::unknown : log_status::done};
    };
    log.read = [&](const auto& request, auto) -> cell::log_read_answer {
        return {.status = log_status::expired, .next = request.from};
    };
    log_follower follower{{.name = "cell",
                           .log = log,
                           .load_timeout = 100ms,
                           .max_load_timeout = 400ms,
                           .retry_interval = 1ms,
                           .sink = [](const log_batch&) {}}};
    const auto count = [&] {
        const std::lock_guard guard{mutex};
        return limits.size();
    };
    REQUIRE(wait_until([&] { return count() >= 6; }));
    const std::lock_guard guard{mutex};
    limits.resize(6);
    CHECK(limits == std::vector<core::milliseconds>{100ms, 200ms, 400ms, 400ms, 400ms, 100ms});
}

// LOST: hosts on slow links never caught up after an outage, because each read asked for more than the link
// carries within the time limit of a read; they refused their callers to the end of the day.
TEST_CASE("a follower with a backlog catches up over a link that does not carry the longest read in time") {
    constexpr std::uint64_t bytes_per_ms = 1000;
    constexpr std::uint64_t entry_bytes = 10'000;
    constexpr std::uint64_t backlog = 2000;
    std::atomic<bool> caught_up = false;
    std::atomic<std::uint64_t> longest_answer{0};
    cell::keyed_log log;
    log.newest = [](auto) { return cell::log_newest_answer{.status = log_status::done}; };
    log.read = [&](const cell::log_read_request& request, core::milliseconds limit) -> cell::log_read_answer {
        const auto left = backlog - request.from.value();
        const auto entries = std::min<std::uint64_t>(left, request.max_bytes / entry_bytes);
        if (entries * entry_bytes > bytes_per_ms * static_cast<std::uint64_t>(limit.count())) {
            return {.status = log_status::unknown};
        }
        longest_answer = std::max(longest_answer.load(), entries);
        return {.status = log_status::done,
                .next = core::log_offset{request.from.value() + entries},
                .at_end = entries == left};
    };
    log_follower follower{{.name = "cell",
                           .log = log,
                           .retry_interval = 1ms,
                           .read_interval = 1ms,
                           .sink = [&](const log_batch& batch) { caught_up = batch.caught_up; }}};
    CHECK(wait_until([&] { return caught_up.load(); }));
    CHECK(longest_answer > 40);
}

TEST_CASE("a follower reads on past an entry that is longer than a read asks for") {
    constexpr std::size_t entry_bytes = 200'000;
    std::atomic<int> failures{8};
    std::atomic<bool> caught_up = false;
    cell::keyed_log log;
    log.newest = [](auto) { return cell::log_newest_answer{.status = log_status::done}; };
    log.read = [&](const cell::log_read_request& request, core::milliseconds) -> cell::log_read_answer {
        if (failures-- > 0) {
            return {.status = log_status::unknown};
        }
        const bool fits = request.max_bytes >= entry_bytes;
        return {
            .status = log_status::done, .next = fits ? request.from.next() : request.from, .at_end = fits};
    };
    log_follower follower{
        {.name = "cell", .log = log, .retry_interval = 1ms, .sink = [&](const log_batch& batch) {
             caught_up = batch.caught_up;
         }}};
    CHECK(wait_until([&] { return caught_up.load(); }));
}

} // namespace rattanmount::tests
