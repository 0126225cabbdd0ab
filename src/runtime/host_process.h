#pragma once

#include "cell/keyed_log.h"
#include "control/event_queue.h"
#include "core/time.h"
#include "runtime/advice_balancer.h"
#include "runtime/cell_control.h"
#include "runtime/configuration_cache.h"
#include "runtime/elastic_pool.h"
#include "runtime/key_check.h"
#include "runtime/log_follower.h"
#include "runtime/log_writer.h"
#include "runtime/peer_directory.h"
#include "runtime/record_store.h"
#include "runtime/relayed_log.h"
#include "tenancy/caller.h"
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

/// Calls to workers and to the advisory service; any thread may make them.
///
/// Calls with a second argument return at once and pass the reply to it once, on a traffic thread. The
/// functions own the client that makes the calls; after they are destroyed, no reply is passed on any more.
struct worker_calls {
    using reply_callback = std::function<void(dispatch::order_reply)>;

    std::function<void(const dispatch::start_order&, reply_callback)> start;
    std::function<void(const dispatch::stop_order&, reply_callback)> stop;
    std::function<void(const dispatch::pace_order&, reply_callback)> pace;
    std::function<void(const dispatch::hold_order&, std::function<void(dispatch::hold_reply)>)> hold;
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> advise; ///< Blocks.
};

/// The streams of the platform that a host reads, and how their entries are decoded.
struct host_streams {
    cell::keyed_log cell;          ///< The cell's own records.
    cell::keyed_log configuration; ///< The configuration that the operator writes.
    cell::keyed_log workers;       ///< The entries in which workers register.
    /// Decodes the configuration in an entry; returns empty if the entry holds something else.
    std::function<std::optional<workflow::configuration>(const cell::keyed_record&)> decode_configuration;
    /// Decodes the worker in an entry; returns empty if the entry holds none.
    std::function<std::optional<dispatch::worker_entry>(const cell::keyed_record&)> decode_worker;
};

/// Decodes a caller's request as its submission would be decoded.
/// @throws core::invalid_argument if the request is not valid, with the reason.
using submission_decoder =
    std::function<workflow::job_accepted(const cell::submission&, const workflow::configuration&)>;

struct host_process_options {
    workflow::member_record self;
    host_streams streams;
    submission_decoder decode_submission; ///< For explanations of requests that are not submitted.
    worker_calls workers;
    cell::peer_connector connect;        ///< Creates the calls to another host.
    dispatch::dispatch_options dispatch; ///< Its hooks are set by host_process.
    std::size_t max_traffic_threads = 600;
    /// The time within which a version of the configuration has to be in force. A host decides by its routes
    /// only while no version that it has not read can have been in the log for longer.
    core::milliseconds max_configuration_age{2000};
    core::clock_hooks clock;
};

/// The result of host_process::submit() and host_process::cancel().
enum class request_answer : std::uint8_t {
    stored,
    unavailable, ///< Not stored, and never will be; the caller may try again.
    unknown,     ///< May or may not be stored; repeating the request resolves it.
    not_ready,   ///< Not stored, because this host has not read the log to its end recently.
    rejected,    ///< Not stored, and a repeat would not be either: the log cannot hold it.
    conflict,    ///< Not stored, because another team has a job with this key.
    no_job,      ///< Not stored, because for this caller there is no such job.
};

/// One host of the cell: the control thread, the threads that read and write the log, and the threads that
/// make blocking calls on behalf of the control thread.
///
/// Construct one, call start(), and call stop() at the end. Calls on behalf of callers block up to their
/// limit; any traffic thread may make them. Owned by the function that runs the process.
class host_process {
public:
    explicit host_process(host_process_options options);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    void start();

    /// Resigns leadership and announces that this host leaves the cell; keeps answering requests.
    void leave();

    /// Stops and joins all threads; calls after the first have no effect.
    void stop();

    /// Submits a job.
    /// @param request the job.
    /// @param policy the policy of its queue.
    /// @param caller who submits it; the job belongs to the caller's team.
    /// @param limit how long to wait for it to be stored.
    /// @throws core::too_large if the log cannot hold the job.
    /// @throws core::invalid_argument if the job can never run under its team's cap.
    [[nodiscard]] request_answer submit(workflow::job_request request, const workflow::queue_policy& policy,
                                        const tenancy::caller& caller, core::milliseconds limit);

    /// Cancels a job.
    /// @param key the job.
    /// @param caller who cancels it.
    /// @param limit how long to wait for the cancellation to be stored.
    [[nodiscard]] request_answer cancel(const workflow::job_key& key, const tenancy::caller& caller,
                                        core::milliseconds limit);

    /// Returns the phase of a job; empty if there is no such job, or none for the caller.
    /// @throws core::unavailable if the job is not known and this host has not read the log to its end
    /// recently.
    [[nodiscard]] std::optional<workflow::job_phase> phase_of(const workflow::job_key& key,
                                                              const tenancy::caller& caller);

    /// Returns the number of jobs of a queue that wait for their first start.
    /// @throws core::unavailable if this host has not read the log to its end recently.
    [[nodiscard]] std::uint32_t pending(const workflow::queue_id& queue);

    /// Returns the configuration that this host has applied, and whether it is certainly current.
    [[nodiscard]] configuration_view configuration();

    /// Finds the team of a caller's key.
    /// @param key the key; empty if the caller sent none.
    /// @return whether it is valid, and its team. May block; see key_check::check().
    [[nodiscard]] key_answer check_key(const tenancy::api_key& key) { return this->keys.check(key); }

    /// Returns true if this host can serve callers.
    [[nodiscard]] bool is_ready();

    /// Returns the delay after which a caller should retry a request that failed because of an outage of the
    /// log. It grows with the length of the outage so far, because a long outage is likely to last longer.
    [[nodiscard]] std::chrono::seconds retry_after();

    /// Returns the calls that this host serves for its peers.
    [[nodiscard]] cell::peer_calls peer_calls();

private:
    using control_event = std::function<void(cell_control&, core::steady_time)>;

    [[nodiscard]] relayed_log_options make_relay_options(const char* stream, const cell::keyed_log& direct);
    [[nodiscard]] relayed_log& find_log(const std::string& stream);
    [[nodiscard]] key_check_options make_key_check_options();
    /// Reads the configuration to the end of its stream and waits until the control thread has applied it.
    /// @return whether both succeeded.
    [[nodiscard]] bool read_configuration();
    [[nodiscard]] advice_balancer_options make_advice_options();
    [[nodiscard]] record_store_options make_store_options();
    [[nodiscard]] cell_control_options make_control_options();
    [[nodiscard]] dispatch::dispatch_options make_dispatch_options();
    void run_control();
    void post(control_event event);
    template <typename Value>
    [[nodiscard]] std::optional<Value>
    query_control(std::function<Value(const cell_control&, core::steady_time)> query);
    /// @throws core::too_large if the log cannot hold a record, with the record's size and the limit.
    void require_recordable(const workflow::cell_record& record) const;
    [[nodiscard]] request_answer
    await_request(std::function<void(cell_control&, std::function<void(request_outcome)>)> request,
                  core::milliseconds limit);
    /// Explains a request here if this host leads, or else asks the leader.
    [[nodiscard]] dispatch::placement_explanation explain(const cell::submission& request,
                                                          core::milliseconds limit);
    /// @throws core::unavailable if this host does not lead.
    [[nodiscard]] dispatch::placement_explanation explain_as_leader(const cell::keyed_record& acceptance);
    void on_records_stored(const std::vector<cell::keyed_record>& items);
    void on_cell_batch(const log_batch& batch);
    /// Applies the newest version among entries of the configuration's stream.
    /// @param confirmed whether they reach to the end of the stream.
    void on_configuration_batch(const log_batch& batch, bool confirmed);
    void on_worker_batch(const log_batch& batch);
    [[nodiscard]] log_follower_options cell_follower_options();
    [[nodiscard]] log_follower_options configuration_follower_options();
    [[nodiscard]] log_follower_options worker_follower_options();

    host_process_options options;
    control::event_queue<control_event> events;
    elastic_pool traffic;
    peer_directory peers;
    relayed_log cell_log;
    relayed_log configuration_log;
    relayed_log worker_log;
    advice_balancer advice;
    record_store records;
    std::atomic<bool> leading = false; ///< Last value reported by the control thread.
    std::unique_ptr<log_writer> host_writer;
    std::unique_ptr<log_writer> leader_writer;
    std::unique_ptr<cell_control> control;
    std::unique_ptr<log_follower> cell_follower;
    std::unique_ptr<log_follower> configuration_follower;
    std::unique_ptr<log_follower> worker_follower;
    configuration_cache config;
    key_check keys;
    std::atomic<bool> stopping = false;
    std::thread control_thread;
};

} // namespace rattanmount::runtime
