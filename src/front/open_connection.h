#pragma once

#include "core/time.h"

#include <mutex>

namespace rattanmount::front {

/// A connection that a worker thread serves, as other threads see it.
///
/// Owned by the connection_server while the connection is served. Any thread may call.
class open_connection {
public:
    /// @param socket the connected descriptor; a duplicate of it is kept.
    explicit open_connection(int socket);
    ~open_connection();

    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;

    /// A request on it begins.
    void begin_request();

    /// The request on it has been answered.
    void end_request();

    /// @return whether it waits for its next request.
    [[nodiscard]] bool idle() const;

    /// @return since when it waits, or when its request began.
    [[nodiscard]] core::steady_time since() const;

    /// Ends the wait for the next request; one that has arrived is still served.
    void stop_reading() const;

    /// Ends all waits on it, also for an answer that is being sent.
    void abort() const;

private:
    void set_idle(bool value);

    int descriptor;
    mutable std::mutex mutex;
    bool waiting = true;
    core::steady_time changed = std::chrono::steady_clock::now();
};

} // namespace rattanmount::front
