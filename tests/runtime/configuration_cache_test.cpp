#include "runtime/configuration_cache.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using runtime::configuration_cache;

constexpr core::milliseconds max_age = 2s;
constexpr core::steady_time start{1h};

std::shared_ptr<const workflow::configuration> version(std::uint64_t number) {
    return std::make_shared<const workflow::configuration>(workflow::configuration{.version = number});
}

} // namespace

TEST_CASE("a configuration is current for its maximum age, counted from when the read was sent") {
    configuration_cache cache{max_age};
    CHECK_FALSE(cache.view(start).is_current);
    cache.apply(version(1));
    CHECK(cache.view(start).version->version == 1);
    CHECK_FALSE(cache.view(start).is_current); // Read, but not yet to the end of the log.
    cache.confirm(start);
    CHECK(cache.view(start + max_age - 1ms).is_current);
    CHECK_FALSE(cache.view(start + max_age).is_current);
    cache.confirm(start + 1s);
    CHECK(cache.view(start + max_age).is_current);
}

TEST_CASE("an answer that arrives late does not shorten the time for which a configuration is current") {
    configuration_cache cache{max_age};
    cache.apply(version(1));
    cache.confirm(start + 1s);
    cache.confirm(start);
    CHECK(cache.view(start + max_age).is_current);
}

TEST_CASE("without a version nothing is current, even if the log has been read to its end") {
    configuration_cache cache{max_age};
    cache.confirm(start);
    CHECK_FALSE(cache.view(start).is_current);
    CHECK(cache.view(start).version == nullptr);
}

} // namespace rattanmount::tests
