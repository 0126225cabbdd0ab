#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "external/connection_budget.h"
#include "external/http_channel.h"
#include "external/http_message.h"
#include "external/traffic_counters.h"
#include "external/wake_socket.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace rattanmount::external {

struct http_multiplexer_options {
    std::size_t max_connections = 24; ///< Per endpoint: in use, idle and lingering together.
    std::size_t max_idle = 12;        ///< Idle connections per endpoint; excess ones are closed.
    /// How long an idle connection is kept. Must be less than the keep-alive time of the servers.
    core::milliseconds idle_limit{12000};
    core::milliseconds linger{0}; ///< How long a connection counts after a timeout or a failure.
};

/// Makes concurrent HTTP calls on one thread and reports the outcome of each.
///
/// A call that waits for its server occupies a connection but no thread. A connection whose exchange did not
/// end with a complete answer is closed. If that connection had been reused, the idle connections to its
/// endpoint that were last verified before the exchange started are closed as well, because a device on the
/// path may have dropped the state of all of them. A call may be limited to the process that serves the
/// endpoint when the call is issued: see call_times. Owned by a client; any thread may call post() and
/// counters().
class http_multiplexer {
public:
    using answer_handler = std::function<void(http_answer)>;

    /// Times of a call.
    struct call_times {
        /// Covers waiting for a connection, connecting, sending and receiving.
        core::steady_time deadline;
        /// If set, when the caller decided to make the call. The call is not sent once the server has closed
        /// a connection after that: the process that serves the endpoint may since have been replaced.
        std::optional<core::steady_time> issued_at = std::nullopt;
    };

    explicit http_multiplexer(http_multiplexer_options options);

    /// Stops the thread. The handlers of pending calls are not called.
    ~http_multiplexer();
    http_multiplexer(const http_multiplexer&) = delete;
    http_multiplexer& operator=(const http_multiplexer&) = delete;

    /// Runs a function on the multiplexer's thread before its next wait. The function must not block.
    void post(std::function<void()> work);

    /// Starts a call. Must be called on the multiplexer's thread, by a posted function or an answer handler.
    /// @param peer the server.
    /// @param message the request.
    /// @param times the deadline, and what the call is limited to.
    /// @param done called once with the result, on the multiplexer's thread.
    void call(const core::endpoint& peer, const http_message& message, const call_times& times,
              answer_handler done);

    /// @return the traffic so far; may be read at any time.
    [[nodiscard]] const traffic_counters& counters() const { return this->traffic; }

private:
    struct pending_call {
        std::string bytes;
        call_times times;
        answer_handler done;
    };
    struct peer_state;
    struct connection {
        explicit connection(peer_state& peer, http_channel channel)
            : peer(peer), channel(std::move(channel)) {}
        peer_state& peer;
        http_channel channel;
        answer_handler done; ///< The handler of the current exchange; empty if the connection is idle.
        std::multimap<core::steady_time, connection*>::iterator due;
        bool polled_for_send = false;
    };
    struct peer_state {
        peer_state(core::endpoint endpoint, std::size_t maximum)
            : endpoint(std::move(endpoint)), budget(maximum) {}
        core::endpoint endpoint;
        connection_budget budget;
        std::vector<connection*> idle; ///< Ordered by last use, the most recent at the back.
        std::deque<pending_call> waiting;
        /// When the server last closed a connection, or a connection to it broke.
        std::optional<core::steady_time> closed_by_server_at;
    };

    void run(const std::stop_token& stop);
    void run_posted();
    [[nodiscard]] core::milliseconds next_wait(core::steady_time now) const;
    void on_ready(const Poco::Net::Socket& socket);
    void start(peer_state& peer, pending_call call);
    /// Reports a call as not sent if it is limited to a process that may have been replaced.
    /// @return whether it did.
    bool refuse_outdated(peer_state& peer, const pending_call& call);
    void open_connection(peer_state& peer, pending_call call);
    void begin_exchange(connection& connection, pending_call call);
    void poll_for(connection& connection);
    void finish(connection& connection, http_answer answer);
    void close(connection& connection, bool linger);
    void close_unverified(peer_state& peer, core::steady_time since);
    void start_waiting_calls(peer_state& peer);
    void fail_expired_waiting(peer_state& peer, core::steady_time now);
    void time_out_exchanges(core::steady_time now);
    void sweep(core::steady_time now);

    http_multiplexer_options options;
    traffic_counters traffic;
    wake_socket waker;
    std::mutex mutex;
    std::vector<std::function<void()>> posted; ///< Guarded by mutex.
    Poco::Net::PollSet polled;
    std::map<core::endpoint, peer_state> peers;
    std::map<Poco::Net::Socket, std::unique_ptr<connection>> connections;
    std::multimap<core::steady_time, connection*> deadlines;
    core::steady_time swept_at;
    std::jthread thread;
};

} // namespace rattanmount::external
