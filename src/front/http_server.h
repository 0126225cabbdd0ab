#pragma once

#include "core/activity.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "front/http_message.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::front {

struct http_server_options {
    core::endpoint listen; ///< Port 0 takes a free port.
    /// Finds the answer to a whole request; called by traffic threads, many at once.
    std::function<http_reply(const http_request&)> handle;
    /// Runs a connection's request on a traffic thread; may queue it.
    std::function<void(std::function<void()>)> execute;
    std::vector<std::string> kept_headers; ///< Names of the headers that requests carry on to handle.
    std::size_t max_body_bytes = 1'048'576;
    std::size_t max_connections = 3500;      ///< More are closed at once.
    core::milliseconds receive_timeout{10000}; ///< For a request to arrive.
    core::milliseconds idle_timeout{60000};    ///< A connection that is idle for longer is closed.
    core::milliseconds quiet_time{150};      ///< How long no request may have run before a stop ends.
};

/// Serves HTTP on one address, where an idle connection costs a descriptor and no thread.
///
/// One thread waits on the listening socket and on all idle connections. A connection on which bytes have
/// arrived is handed to a traffic thread for its request and then waits again. Owned by the process; start(),
/// drain() and stop() from one thread.
class http_server {
public:
    explicit http_server(http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens and serves from here on.
    /// @throws core::unavailable where the address cannot be listened on.
    void start();

    /// From here on each answer ends its connection; new connections are still taken.
    void drain() { this->draining = true; }

    /// Waits until no request runs, then closes everything.
    /// @param grace how long requests may take to end.
    void stop(core::milliseconds grace);

    /// @return where it listens, with the port that was taken.
    [[nodiscard]] core::endpoint endpoint() const;

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;

    void poll_sockets(const std::stop_token& stop);
    void accept_connection();
    void begin_request(const Poco::Net::Socket& socket);
    void serve(const connection_ptr& served);
    bool serve_request(connection& served);
    [[nodiscard]] http_reply answer(Poco::Net::HTTPServerRequest& request) const;
    void await_next_request(const connection_ptr& served);
    void close(const connection_ptr& served);
    void close_idle_connections();

    http_server_options options;
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::Net::ServerSocket socket;
    Poco::Net::PollSet poll_set;
    std::mutex mutex;
    std::map<Poco::Net::Socket, connection_ptr> connections;
    core::activity requests;
    std::atomic<bool> draining = false;
    core::steady_time swept_at;
    std::jthread poller;
};

} // namespace rattanmount::front
