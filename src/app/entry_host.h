#pragma once

#include "app/job_router.h"
#include "app/order_runner.h"
#include "app/quick_request_handler.h"
#include "control/control_thread.h"
#include "external/external.h"
#include "front/http_front.h"
#include "inner/client_cache.h"
#include "inner/inner_server.h"
#include "settings/host_settings.h"
#include "telemetry/telemetry.h"

#include <atomic>
#include <memory>
#include <string>

namespace rattanmount::app {

/// One entry host: its control thread, its traffic threads, the servers for callers and peers, and the
/// clients of the platform.
///
/// Call start() after construction and stop() at the end. stop() hands over all shards, then lets the
/// requests of callers and those of peers complete; each of these steps waits at most for the grace period of
/// the settings, and the last two after it for the hooks that still run. Owned by the command
/// `entry`; one thread calls start() and stop().
class entry_host {
public:
    /// @param settings validated settings.
    explicit entry_host(const settings::host_settings& settings);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Starts the control thread and the servers.
    /// @throws core::unavailable if a server cannot listen on its address.
    void start();

    /// Reports not ready, hands over the shards, waits for requests in flight, and ends all threads.
    ///
    /// Does nothing if the host is not running.
    void stop();

private:
    [[nodiscard]] core::cell_calls caller_handlers();
    [[nodiscard]] cell::peer_calls peer_handlers();
    [[nodiscard]] core::note_answer apply_note(const std::string& text, core::milliseconds limit);
    [[nodiscard]] cell::owner_answer take_job(core::shard_id to, const core::job_spec& spec,
                                              core::system_time accepted_at, core::milliseconds limit);
    [[nodiscard]] std::string render_metrics();
    void record(telemetry::event_kind kind, const telemetry::event_fields& about);

    const settings::host_settings settings;
    const core::incarnation_id incarnation;
    telemetry::hybrid_clock hybrid_clock;
    telemetry::timeline events;
    telemetry::metrics_registry metrics;
    external::http_log_client log;
    external::http_fleet_client fleet;
    external::http_worker_client workers;
    external::http_executor_client executors;
    inner::client_cache peers;
    order_runner orders;
    control::host_control state;
    std::atomic<bool> stopping = false;
    std::unique_ptr<control::control_thread> control;
    std::unique_ptr<job_router> jobs;
    std::unique_ptr<quick_request_handler> quick;
    std::unique_ptr<inner::inner_server> peer_server;
    std::unique_ptr<front::http_front> caller_server;
};

/// Runs an entry host until the process receives SIGTERM or SIGINT.
/// @param settings validated settings.
/// @return the exit code of the process.
int run_entry_host(const settings::host_settings& settings);

} // namespace rattanmount::app
