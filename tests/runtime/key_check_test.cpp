#include "runtime/key_check.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;

/// A stream of configurations in memory: the keys that it holds, and those that the host has read.
struct configuration_fake {
    std::mutex mutex;
    std::set<std::string> in_stream;
    std::set<std::string> in_host;
    std::atomic<bool> reachable = true;
    std::atomic<int> reads = 0;
    std::atomic<int> concurrent_reads = 0;
    std::atomic<int> max_concurrent_reads = 0;
    core::milliseconds read_time{2};

    void add(const std::string& key) {
        const std::lock_guard guard{this->mutex};
        this->in_stream.insert(key);
    }

    bool read() {
        this->reads++;
        const auto running = ++this->concurrent_reads;
        this->max_concurrent_reads = std::max(this->max_concurrent_reads.load(), running);
        std::set<std::string> newest;
        {
            const std::lock_guard guard{this->mutex};
            newest = this->in_stream;
        }
        std::this_thread::sleep_for(this->read_time);
        if (this->reachable) {
            const std::lock_guard guard{this->mutex};
            this->in_host = newest;
        }
        this->concurrent_reads--;
        return this->reachable;
    }

    key_check_options options() {
        return {.find_team = [this](const tenancy::api_key& key) -> std::optional<core::team_id> {
                    const std::lock_guard guard{this->mutex};
                    return this->in_host.contains(key.value()) ? std::optional{core::team_id{"team"}}
                                                               : std::nullopt;
                },
                .read_configuration = [this] { return this->read(); },
                .read_interval = 20ms,
                .max_wait = 200ms};
    }
};

key_verdict verdict(key_check& check, const std::string& key) {
    return check.check(tenancy::api_key{key}).verdict;
}

} // namespace

TEST_CASE("a known key and a missing one are decided without a read") {
    configuration_fake fake;
    fake.in_host = {"known"};
    key_check check{fake.options()};
    CHECK(check.check(tenancy::api_key{"known"}).team == core::team_id{"team"});
    CHECK(verdict(check, "known") == key_verdict::accepted);
    CHECK(verdict(check, "") == key_verdict::rejected);
    CHECK(fake.reads == 0);
}

TEST_CASE("a key that a version adds just before its call is accepted, another one is rejected") {
    configuration_fake fake;
    key_check check{fake.options()};
    for (int i = 0; i < 5; i++) {
        const auto key = std::to_string(i);
        CHECK(verdict(check, key) == key_verdict::rejected);
        fake.add(key);
        CHECK(verdict(check, key) == key_verdict::accepted);
    }
    CHECK(fake.reads == 10);
}

TEST_CASE("a read that was sent before a call arrived does not decide it") {
    configuration_fake fake;
    fake.read_time = 30ms;
    key_check check{fake.options()};
    auto first = std::async(std::launch::async, [&] { return verdict(check, "new"); });
    std::this_thread::sleep_for(10ms);
    fake.add("new"); // After the first read has looked.
    CHECK(verdict(check, "new") == key_verdict::accepted);
    CHECK(first.get() == key_verdict::rejected);
}

TEST_CASE("an unknown key is neither accepted nor rejected while the configuration cannot be read") {
    configuration_fake fake;
    fake.in_host = {"known"};
    fake.reachable = false;
    auto options = fake.options();
    const bool throws = GENERATE(false, true);
    if (throws) {
        options.read_configuration = []() -> bool { throw std::runtime_error("no answer"); };
    }
    key_check check{options};
    CHECK(verdict(check, "other") == key_verdict::undecided);
    CHECK(verdict(check, "known") == key_verdict::accepted);
}

TEST_CASE("a known key is accepted while a read is in progress") {
    configuration_fake fake;
    fake.in_host = {"known"};
    fake.read_time = 300ms;
    key_check check{fake.options()};
    auto unknown = std::async(std::launch::async, [&] { return verdict(check, "unknown"); });
    while (fake.concurrent_reads == 0) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK(verdict(check, "known") == key_verdict::accepted);
    CHECK(fake.concurrent_reads == 1);
    CHECK(unknown.get() == key_verdict::rejected);
}

TEST_CASE("a flood of unknown keys makes one read at a time, at a bounded rate") {
    configuration_fake fake;
    auto options = fake.options();
    options.max_waiting = 4;
    key_check check{options};
    std::atomic<bool> stop = false;
    std::atomic<int> rejected = 0;
    std::atomic<int> undecided = 0;
    std::vector<std::jthread> callers;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 16; i++) {
        callers.emplace_back([&] {
            while (!stop) {
                (verdict(check, "unknown") == key_verdict::rejected ? rejected : undecided)++;
                std::this_thread::sleep_for(1ms);
            }
        });
    }
    std::this_thread::sleep_for(200ms);
    stop = true;
    callers.clear();
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(rejected > 0);
    CHECK(undecided > 0);
    CHECK(fake.max_concurrent_reads == 1);
    CHECK(fake.reads <= 1 + elapsed / 20ms);
}

} // namespace rattanmount::tests
