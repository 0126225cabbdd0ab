#pragma once

#include "cell/peer_calls.h"
#include "core/time.h"
#include "dispatch/orders.h"
#include "runtime/peer_directory.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace rattanmount::runtime {

struct advice_balancer_options {
    /// Calls the advisory service from this host; blocks.
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> ask_locally;
    /// Called on any thread, after each update of the peers, with the number of calls that may be in flight
    /// at the same time.
    std::function<void(std::uint32_t)> concurrency_changed;
    core::milliseconds initial_backoff{1500}; ///< Time without calls to a peer after its first failure.
    core::milliseconds max_backoff{20000};    ///< Each further failure doubles the back-off, up to this.
};

/// Distributes calls of the advisory service over the hosts of the cell.
///
/// The advisory service accepts one call at a time from each machine, so calls run in parallel only if they
/// come from different hosts. Owned by host_process. Any thread may call it; advise() blocks.
class advice_balancer {
public:
    explicit advice_balancer(advice_balancer_options options) : options(std::move(options)) {}

    /// Replaces the set of peers.
    /// @param peers the other hosts of the cell.
    void set_peers(const std::vector<peer_directory::peer>& peers);

    /// Calls the advisory service from an idle host: from a peer if one is idle, else from this host. Waits
    /// up to the order's limit if all are busy.
    /// @param order the question.
    /// @return the answer; not answered if no host became idle in time or the call failed.
    [[nodiscard]] dispatch::advice_reply advise(const dispatch::advice_order& order);

private:
    /// The state of calls through one peer.
    struct channel {
        std::function<dispatch::advice_reply(const dispatch::advice_order&)> ask;
        bool busy = false;
        core::steady_time retry_at;
        core::milliseconds backoff{0}; ///< The wait after the last failure; 0 after a success.
    };

    [[nodiscard]] std::map<core::incarnation_id, channel>::iterator find_idle_peer(core::steady_time now);
    [[nodiscard]] dispatch::advice_reply ask_locally(const dispatch::advice_order& order) const;
    [[nodiscard]] dispatch::advice_reply ask_peer(const core::incarnation_id& incarnation,
                                                  const dispatch::advice_order& order);
    void notify_concurrency();

    advice_balancer_options options;
    std::mutex mutex;
    std::condition_variable channel_freed;
    bool local_busy = false;
    std::map<core::incarnation_id, channel> peers;
};

} // namespace rattanmount::runtime
