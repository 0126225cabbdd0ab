#include "runtime/log_follower.h"

#include <catch2/catch.hpp>

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

} // namespace rattanmount::tests
