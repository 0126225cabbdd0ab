#include "runtime/log_writer.h"

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

namespace rattanmount::tests {

using namespace std::chrono_literals;

// Guards against processes that end because the handling of an append's outcome throws on the writer's
// thread.
TEST_CASE("a writer continues after a callback that throws") {
    runtime::log_writer writer{{.producer = "p", .log = {.append = [](const auto&, const auto&, auto) {
                                                     return cell::log_append_answer{
                                                         .status = cell::log_status::done};
                                                 }}}};
    const core::epoch_id epoch{1};
    writer.write(epoch, {}, [](runtime::write_outcome) { throw std::runtime_error("odd record"); });
    std::promise<runtime::write_outcome> outcome;
    writer.write(epoch, {}, [&](runtime::write_outcome value) { outcome.set_value(value); });
    auto stored = outcome.get_future();
    REQUIRE(stored.wait_for(5s) == std::future_status::ready);
    CHECK(stored.get() == runtime::write_outcome::stored);
}

} // namespace rattanmount::tests
