#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"

#include <cstdint>

namespace rattanmount::dispatch {

/// Sends orders again that got no answer, and stops that had to wait for room among the orders in flight.
///
/// Owned by the dispatcher; used by the control thread only.
class order_retrier {
public:
    order_retrier(dispatch_state& state, run_manager& runs) : state(state), runs(runs) {}

    /// Sends the orders that are due, as many as there is room for.
    void run(core::steady_time now);

private:
    void retry(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
};

} // namespace rattanmount::dispatch
