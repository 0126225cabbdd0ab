#pragma once

#include "core/time.h"

#include <mutex>
#include <optional>

namespace rattanmount::front {

/// The state of a connection that a serving thread serves, shared with the threads that may close it.
///
/// Owned by the connection_server while the connection is served. Any thread may call.
class open_connection {
public:
    /// @param socket the connected file descriptor; the object keeps a duplicate of it.
    explicit open_connection(int socket);
    ~open_connection();

    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;

    /// Called when a request on this connection begins.
    void begin_request();

    /// Called when the request has been answered.
    void end_request();

    /// @return when the wait for the next request began, or nothing while a request runs or after
    /// stop_reading().
    [[nodiscard]] std::optional<core::steady_time> idle_since() const;

    /// @return whether at least one request on this connection has been answered.
    [[nodiscard]] bool has_answered() const;

    /// Ends the wait for the next request; a request that has already arrived is still served.
    void stop_reading();

    /// Shuts the connection down in both directions, which also interrupts a response that is being sent.
    void abort() const;

private:
    int descriptor;
    mutable std::mutex mutex;
    std::optional<core::steady_time> waiting_since = std::chrono::steady_clock::now();
    bool has_answered_request = false;
    bool ending = false;
};

} // namespace rattanmount::front
