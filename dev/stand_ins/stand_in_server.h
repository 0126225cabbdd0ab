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
    std::uint16_t port = 0; ///< On the loopback address; 0 picks one.
    int max_threads = 512;  ///< Each open connection holds one.
};

/// Speaks HTTP for one role, keeps its journal of connections, and applies the faults ordered.
///
/// Listens from its construction to stop() or its end, which lets requests in flight finish. Owned by the
/// program or the test; stop() by its owner's thread, the rest by any thread.
class stand_in_server {
public:
    /// @param options where to listen.
    /// @param role the service.
    /// @param log where connections and faults are recorded; must outlive the server.
    /// @param faults the faults in force; must outlive the server.
    stand_in_server(stand_in_server_options options, role_hooks role, journal& log, fault_board& faults);
    ~stand_in_server();
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    /// @return the port that it listens at.
    [[nodiscard]] std::uint16_t port() const;

    /// Puts a fault in force, as PUT /faults does.
    /// @param ordered the fault.
    void order(const fault& ordered);

    /// Takes no more requests, lets those in flight finish, and closes all connections.
    void stop();

private:
    friend class stand_in_connection;
    friend class stand_in_handler;

    /// A connection of a client; its socket is shut down by whoever ends it last: the request or stop().
    struct open_connection {
        Poco::Net::StreamSocket socket;
        bool busy = false;
        bool silent = false;
    };

    void opened(const std::string& connection, const Poco::Net::StreamSocket& socket);
    void closed(const std::string& connection);
    void set_busy(const std::string& connection, bool busy);
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    [[nodiscard]] bool serve_control(const stand_in_call& call, Poco::Net::HTTPServerResponse& response);
    void serve_role(const stand_in_call& call, Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response);
    [[nodiscard]] stand_in_reply handle(const stand_in_call& call) const;
    void hold_until_closed(Poco::Net::HTTPServerRequest& request);
    void wait_while_frozen(const fault_site& site);
    void pause(core::steady_time until);
    [[nodiscard]] bool silent(const std::string& connection);
    [[nodiscard]] bool stopping();

    role_hooks role;
    journal& log;
    fault_board& faults;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stop_requested = false;
    std::map<std::string, open_connection> open_connections; ///< By the peer's address and port.
    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

} // namespace rattanmount::stand_ins
