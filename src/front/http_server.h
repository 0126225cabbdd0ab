#pragma once

#include "core/endpoint.h"
#include "core/request_tracker.h"
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

/// The settings of an http_server.
struct http_server_options {
    core::endpoint listen; ///< Port 0 selects a free port.
    /// Returns the response to a complete request; called concurrently by traffic threads. If it throws, the
    /// request is answered with status 500.
    std::function<http_reply(const http_request&)> handle;
    /// Runs a function on a traffic thread; may queue it.
    std::function<void(std::function<void()>)> execute;
    std::vector<std::string> kept_headers; ///< Names of the headers that are passed to handle.
    std::size_t max_body_bytes = 1'048'576;
    std::size_t max_connections = 3500;        ///< Further connections are closed immediately.
    core::milliseconds receive_timeout{10000}; ///< For a request to arrive completely.
    core::milliseconds idle_timeout{60000};    ///< A connection that is idle for longer is closed.
    core::milliseconds quiet_time{150};        ///< stop() waits until no request has run for this long.
};

/// Serves HTTP on one address; an idle connection occupies a file descriptor but no thread.
///
/// One thread polls the listening socket and all idle connections. When bytes arrive on a connection, a
/// traffic thread serves the request, and the connection returns to the poll set. Owned by the process;
/// start(), drain() and stop() are called by one thread.
class http_server {
public:
    explicit http_server(http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts listening and serving.
    /// @throws core::unavailable if it cannot listen on the address.
    void start();

    /// Makes every further response close its connection; new connections are still accepted.
    void drain() { this->draining = true; }

    /// Waits until no request has run for quiet_time, at most for the grace period, then ends the polling
    /// thread and closes the listening socket and all idle connections. Requests that still run are not
    /// aborted.
    /// @param grace the longest wait for requests.
    void stop(core::milliseconds grace);

    /// @return the listening address with the actual port.
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
    [[nodiscard]] http_reply handle(const http_request& request) const;
    void await_next_request(const connection_ptr& served);
    void close(const connection_ptr& served);
    void close_idle_connections();

    http_server_options options;
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::Net::ServerSocket socket;
    Poco::Net::PollSet poll_set;
    std::mutex mutex;
    std::map<Poco::Net::Socket, connection_ptr> connections;
    core::request_tracker requests;
    std::atomic<bool> draining = false;
    core::steady_time swept_at;
    std::jthread poller;
};

} // namespace rattanmount::front
