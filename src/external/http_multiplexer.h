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
#include <thread>
#include <vector>

namespace rattanmount::external {

struct http_multiplexer_options {
    std::size_t max_connections = 24; ///< To one endpoint: in use, idle and lingering together.
    std::size_t max_idle = 12;        ///< Idle ones to one endpoint; more are closed.
    /// An idle connection is closed after so long; below the keep-alive time of the servers.
    core::milliseconds idle_limit{12000};
    core::milliseconds linger{0}; ///< How long a connection counts after a timeout or a break.
};

/// Makes many HTTP calls at a time on one thread and tells the exact fate of each.
///
/// A call that waits at its server costs a connection and no thread. A connection whose exchange did not end
/// in a whole answer is closed and never used again; if it had been used before, the idle ones to its
/// endpoint that have not proved to work since are closed as well, because whatever lies between both ends
/// may have lost track of them all. Owned by a client; any thread may call.
class http_multiplexer {
public:
    using answered = std::function<void(http_answer)>;

    explicit http_multiplexer(http_multiplexer_options options);

    /// Ends the thread; calls that are out are told nothing.
    ~http_multiplexer();
    http_multiplexer(const http_multiplexer&) = delete;
    http_multiplexer& operator=(const http_multiplexer&) = delete;

    /// Runs work on the thread of the calls, before it waits again. The work must not block.
    void post(std::function<void()> work);

    /// Makes a call; only from work that was posted, or from an answer.
    /// @param peer the server.
    /// @param message the request.
    /// @param deadline when to give up; covers waiting for a connection, connecting, sending and receiving.
    /// @param done told of the fate, once, on the thread of the calls.
    void call(const core::endpoint& peer, const http_message& message, core::steady_time deadline,
              answered done);

    /// @return what was sent and received so far; may be read at any time.
    [[nodiscard]] const traffic_counters& counters() const { return this->traffic; }

private:
    struct pending_call {
        std::string bytes;
        core::steady_time deadline;
        answered done;
    };
    struct peer_state;
    struct line {
        explicit line(peer_state& peer, http_channel channel) : peer(peer), channel(std::move(channel)) {}
        peer_state& peer;
        http_channel channel;
        answered done; ///< Of the exchange that is out; empty: idle.
        std::multimap<core::steady_time, line*>::iterator due;
        bool polled_for_send = false;
    };
    struct peer_state {
        peer_state(core::endpoint at, std::size_t maximum) : at(std::move(at)), budget(maximum) {}
        core::endpoint at;
        connection_budget budget;
        std::vector<line*> idle; ///< The last used at the back.
        std::deque<pending_call> waiting;
    };

    void run(const std::stop_token& stop);
    void run_posted();
    [[nodiscard]] core::milliseconds next_wait(core::steady_time now) const;
    void on_ready(const Poco::Net::Socket& socket);
    void start(peer_state& peer, pending_call call);
    void open_line(peer_state& peer, pending_call call);
    void use(line& line, pending_call call);
    void poll_for(line& line);
    void finish(line& line, http_answer answer);
    void close(line& line, bool linger);
    void close_unproved(peer_state& peer, core::steady_time since);
    void start_waiting(peer_state& peer);
    void refuse_late(peer_state& peer, core::steady_time now);
    void expire(core::steady_time now);
    void sweep(core::steady_time now);

    http_multiplexer_options options;
    traffic_counters traffic;
    wake_socket waker;
    std::mutex mutex;
    std::vector<std::function<void()>> posted; ///< Guarded by mutex.
    Poco::Net::PollSet polled;
    std::map<core::endpoint, peer_state> peers;
    std::map<Poco::Net::Socket, std::unique_ptr<line>> lines;
    std::multimap<core::steady_time, line*> deadlines;
    core::steady_time swept_at;
    std::jthread thread;
};

} // namespace rattanmount::external
