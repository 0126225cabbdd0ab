#include "runtime/advice_balancer.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

namespace rattanmount::tests {

using namespace std::chrono_literals;

// Guards against hosts that never ask for advice again after one request that could not be encoded.
TEST_CASE("an advice request that throws counts as unanswered, and the next one is sent") {
    int calls = 0;
    const auto ask = [&calls](const dispatch::advice_order&) -> dispatch::advice_reply {
        if (calls++ == 0) {
            throw std::runtime_error("the request cannot be encoded");
        }
        return {.answered = true};
    };
    const bool through_peer = GENERATE(false, true);
    CAPTURE(through_peer);
    runtime::advice_balancer advice{
        {.ask_locally = through_peer ? runtime::advice_balancer_options{}.ask_locally : ask,
         .concurrency_changed = [](std::uint32_t) {},
         .initial_backoff = 1ms,
         .max_backoff = 1ms}};
    if (through_peer) {
        cell::peer_calls peer;
        peer.advise = ask;
        advice.set_peers({{.incarnation = core::incarnation_id{"p"}, .calls = peer}});
    }
    const dispatch::advice_order order{.timeout = 100ms};
    CHECK_FALSE(advice.advise(order).answered);
    std::this_thread::sleep_for(5ms);
    CHECK(advice.advise(order).answered);
}

} // namespace rattanmount::tests
