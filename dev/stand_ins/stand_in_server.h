#pragma once

#include "stand_ins/faults.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace rattanmount::stand_ins {

struct stand_in_server_options {
    std::uint16_t port = 0; ///< On the loopback address; 0 selects a free port.
    int max_threads = 512;  ///< Each open connection occupies one thread.
};

/// The HTTP server of one role. Records connections and faults in the journal and applies injected faults.
///
/// Listens from construction until stop() or destruction; both let requests in flight finish. Owned by the
/// program or the test. Only the owner's thread may call stop(); the other functions are thread-safe.
class stand_in_server {
public:
    /// @param options the port and the thread limit.
    /// @param role the behaviour of the service.
    /// @param events records connections and faults; must outlive the server.
    /// @param faults the active faults; must outlive the server.
    stand_in_server(stand_in_server_options options, role_hooks role, journal& events,
                    fault_injector& faults);
    ~stand_in_server();
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    /// Returns the port on which the server listens.
    [[nodiscard]] std::uint16_t port() const;

    /// Activates a fault, as PUT /faults does.
    /// @param injected the fault.
    void inject_fault(const fault& injected);

    /// Stops accepting requests, waits for those in flight, and closes all connections.
    void stop();

private:
    friend class stand_in_connection;
    friend class stand_in_handler;

    /// A client connection. stop() shuts the socket down if it is idle; otherwise the request in flight does
    /// so when it ends.
    struct open_connection {
        Poco::Net::StreamSocket socket;
        bool busy = false;   ///< Whether a request is in flight.
        bool silent = false; ///< Whether the fault silent_connections applies to it.
    };

    void connection_opened(const std::string& connection, const Poco::Net::StreamSocket& socket);
    void connection_closed(const std::string& connection);
    void set_busy(const std::string& connection, bool busy);
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    [[nodiscard]] bool serve_control(const stand_in_call& call, Poco::Net::HTTPServerResponse& response);
    void serve_role(const stand_in_call& call, Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
    [[nodiscard]] stand_in_reply handle(const stand_in_call& call) const;
    /// Ignores the request and sends nothing until the client closes the connection or stop() is called.
    void hold_until_closed(Poco::Net::HTTPServerRequest& request);
    void wait_while_frozen(const injection_point& site);
    /// Waits until a time, or until stop() is called.
    void wait_until_or_stopped(core::steady_time until);
    [[nodiscard]] bool is_silent(const std::string& connection);
    [[nodiscard]] bool is_stopping();

    role_hooks role;
    journal& events;
    fault_injector& faults;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stop_requested = false;
    std::map<std::string, open_connection> open_connections; ///< By the peer's address and port.
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

} // namespace rattanmount::stand_ins
