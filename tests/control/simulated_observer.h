#pragma once

#include "cell/peer_view.h"
#include "control/host_hooks.h"
#include "external/log_service.h"
#include "external/worker_service.h"
#include "ledger/stream_session.h"

#include <functional>

namespace rattanmount::tests {

/// Callbacks of an observer of a simulated_cell; unset hooks are not called.
///
/// The first argument is the number of the host that made the call. Called in the cell's thread.
struct simulated_observer {
    /// Called when a host's control state is entered (true) or left (false).
    std::function<void(int host, bool enters)> control_boundary_crossed;
    std::function<void(int host, const control::lease_order&, const external::lease_reply&)> leased;
    std::function<void(int host, const control::start_order&)> started;
    std::function<void(int host, const ledger::append_request&)> appended;
    std::function<void(int host, const external::read_reply&)> has_read;
    std::function<void(int host, int peer, const cell::peer_view& sent, const cell::peer_view& answered)>
        heartbeat;
    std::function<void(int host)> fetched_fleet;
};

} // namespace rattanmount::tests
