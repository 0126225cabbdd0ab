#pragma once

#include "cell/keyed_log.h"
#include "control/event_queue.h"
#include "core/time.h"
#include "runtime/advice_lines.h"
#include "runtime/cell_control.h"
#include "runtime/elastic_pool.h"
#include "runtime/keyed_follower.h"
#include "runtime/log_writer.h"
#include "runtime/peer_directory.h"
#include "runtime/record_store.h"
#include "runtime/relayed_log.h"
#include "workflow/queue_policy.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::runtime {

/// Calls that reach workers and the advisory service; any thread may make them.
///
/// Those with a second argument return at once and tell the reply once, on a traffic thread. They hold what
/// makes them, and tell nothing any more once they are gone.
struct worker_calls {
    using told = std::function<void(dispatch::order_reply)>;

    std::function<void(const dispatch::start_order&, told)> start;
    std::function<void(const dispatch::stop_order&, told)> stop;
    std::function<void(const dispatch::pace_order&, told)> pace;
    std::function<void(const dispatch::hold_order&, std::function<void(dispatch::hold_reply)>)> hold;
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> advise; ///< Blocks.
};

/// The streams of the platform that a host reads, and how their entries are decoded.
struct host_streams {
    cell::keyed_log cell;          ///< The cell's own records.
    cell::keyed_log configuration; ///< What the operator writes.
    cell::keyed_log workers;       ///< What the workers write of themselves.
    /// Gives the configuration in an entry; empty where the entry is something else.
    std::function<std::optional<workflow::configuration>(const cell::keyed_bytes&)> decode_configuration;
    /// Gives the worker in an entry; empty where the entry names none.
    std::function<std::optional<dispatch::worker_entry>(const cell::keyed_bytes&)> decode_worker;
};

struct host_process_options {
    workflow::member_record self;
    host_streams streams;
    worker_calls workers;
    cell::peer_connector connect;        ///< Reaches the other hosts.
    dispatch::dispatch_options dispatch; ///< The hooks in it are set here.
    std::size_t max_traffic_threads = 600;
    core::clock_hooks clock;
};

/// What a caller of submit or cancel is told.
enum class request_answer : std::uint8_t {
    stored,
    unavailable, ///< It has no effect and never will; it may be tried again.
    unsettled,   ///< It may or may not be stored; a repeat finds out.
    not_ready,   ///< This host does not know enough yet.
};

/// One host of the cell: the control thread, the threads that follow and write the log, and those that carry
/// out the orders of the control thread.
///
/// Make one, start() it, and stop() it at the end. Its calls for callers block up to their limit; any traffic
/// thread may make them.
class host_process {
public:
    explicit host_process(host_process_options options);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    void start();

    /// Gives the lead up and serves on, so that requests that arrive are still answered.
    void leave();

    /// Ends all threads.
    void stop();

    /// Hands a job in.
    /// @param request the job.
    /// @param policy of its queue.
    /// @param limit how long to wait for it to be stored.
    [[nodiscard]] request_answer submit(workflow::job_request request, const workflow::queue_policy& policy,
                                        core::milliseconds limit);

    /// Cancels a job.
    [[nodiscard]] request_answer cancel(const workflow::job_key& key, core::milliseconds limit);

    /// @param key a job.
    /// @return how far it is, empty where there is none.
    /// @throws core::unavailable where it is not known here and this host has not read the log lately.
    [[nodiscard]] std::optional<workflow::job_phase> phase_of(const workflow::job_key& key);

    /// @param queue a queue.
    /// @return how many of its jobs wait for their first start.
    /// @throws core::unavailable where this host does not know the cell's jobs.
    [[nodiscard]] std::uint32_t pending(const workflow::queue_id& queue);

    /// @return the configuration in force, or null.
    [[nodiscard]] std::shared_ptr<const workflow::configuration> configuration();

    /// @return whether this host can serve callers.
    [[nodiscard]] bool ready();

    /// @return when a caller that was refused for want of the log is best to come back: the longer the log
    /// has been away, the longer it is likely to stay away.
    [[nodiscard]] std::chrono::seconds retry_after();

    /// @return what this host does for its peers.
    [[nodiscard]] cell::peer_calls peer_calls();

private:
    using control_event = std::function<void(cell_control&, core::steady_time)>;

    [[nodiscard]] relayed_log_options relay_options(const char* stream, const cell::keyed_log& direct);
    [[nodiscard]] relayed_log& log_named(const std::string& stream);
    [[nodiscard]] advice_lines_options make_advice_options();
    [[nodiscard]] record_store_options make_store_options();
    [[nodiscard]] cell_control_options make_control_options();
    [[nodiscard]] dispatch::dispatch_options make_dispatch_options();
    void run_control();
    void post(control_event event);
    template <typename Value>
    [[nodiscard]] std::optional<Value>
    ask(std::function<Value(const cell_control&, core::steady_time)> question);
    [[nodiscard]] request_answer
    await(std::function<void(cell_control&, std::function<void(request_fate)>)> request,
          core::milliseconds limit);
    void take_stored(const std::vector<cell::keyed_bytes>& items);
    void take_cell_part(const followed_part& part);
    void take_configuration_part(const followed_part& part);
    void take_worker_part(const followed_part& part);
    [[nodiscard]] keyed_follower_options cell_follower_options();
    [[nodiscard]] keyed_follower_options configuration_follower_options();
    [[nodiscard]] keyed_follower_options worker_follower_options();

    host_process_options options;
    control::event_queue<control_event> events;
    elastic_pool traffic;
    peer_directory peers;
    relayed_log cell_log;
    relayed_log configuration_log;
    relayed_log worker_log;
    advice_lines advice;
    record_store records;
    std::atomic<bool> leading = false; ///< As the control thread last told.
    std::unique_ptr<log_writer> own_writer;
    std::unique_ptr<log_writer> leader_writer;
    std::unique_ptr<cell_control> control;
    std::unique_ptr<keyed_follower> cell_follower;
    std::unique_ptr<keyed_follower> configuration_follower;
    std::unique_ptr<keyed_follower> worker_follower;
    std::mutex config_mutex;
    std::shared_ptr<const workflow::configuration> config; ///< In force; guarded by config_mutex.
    std::atomic<bool> stopping = false;
    std::thread control_thread;
};

} // namespace rattanmount::runtime
