#pragma once

#include "app/traffic_thread_pool.h"
#include "cell/peer_calls.h"
#include "control/control_thread.h"
#include "control/host_hooks.h"
#include "core/time.h"
#include "external/external.h"

#include <atomic>
#include <functional>

namespace rattanmount::app {

struct order_runner_options {
    external::log_service log;
    external::fleet_service fleet;
    external::worker_service workers;
    cell::peer_connector connect;
    core::milliseconds log_timeout{1000};
    core::milliseconds fleet_timeout{1000};
    core::milliseconds worker_timeout{1000};
    core::milliseconds peer_timeout{1000};
    core::milliseconds move_timeout{2000};
    std::size_t max_read_bytes = 1048576; ///< Size limit of one read of a stream.
    std::size_t log_threads = 4;
    std::size_t worker_threads = 16;
    std::size_t peer_threads = 8;
    std::function<std::uint64_t()> hybrid_time;      ///< Returns the time of this host's hybrid clock.
    std::function<void(std::uint64_t)> observe_time; ///< Called with the hybrid time of each peer's answer.
    std::function<void(telemetry::event_kind, const telemetry::event_fields&)> on_change;
};

/// Carries out the orders of the control thread on traffic threads and posts the replies back to it.
///
/// An order is one blocking call to the log, the fleet list, a worker or a peer. Each kind of call has its
/// own threads, so that a slow log or an unreachable rack does not delay the start of tasks on other workers.
/// Owned by the entry host, which calls stop() before it destroys the control thread.
class order_runner {
public:
    explicit order_runner(order_runner_options options);

    /// @return the hooks for host_control. They must not be called before attach().
    [[nodiscard]] control::host_hooks hooks();

    /// Sets the control thread that receives the replies.
    /// @param thread must exist until stop() has returned.
    void attach(control::control_thread& thread) { this->control = &thread; }

    /// Waits for the calls in progress, drops queued orders, and ends all threads.
    void stop();

    /// @return the number of orders that wait for a thread, without fetches of the fleet list.
    [[nodiscard]] std::size_t queued() const;

private:
    void append(const ledger::append_request& request);
    void read(const ledger::read_request& request);
    void lease(const control::lease_order& order);
    void start(const control::start_order& order);
    void act(const control::act_order& order);
    void move(const control::move_order& order);
    void heartbeat(const core::endpoint& peer, const cell::peer_view& view);
    void fetch_fleet();
    void copy_config(const core::endpoint& peer);

    order_runner_options options;
    std::atomic<control::control_thread*> control = nullptr;
    std::atomic<bool> fleet_in_flight = false;
    traffic_thread_pool log_pool;
    traffic_thread_pool lease_pool;
    traffic_thread_pool start_pool;
    traffic_thread_pool peer_pool;
    traffic_thread_pool fleet_pool;
};

} // namespace rattanmount::app
