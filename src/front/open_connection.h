#pragma once

#include "core/time.h"

#include <mutex>
#include <optional>

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

    /// @return since when it has waited for a whole request to begin, or none where a request runs or it was
    /// told to end.
    [[nodiscard]] std::optional<core::steady_time> idle_since() const;

    /// @return whether a request on it was answered.
    [[nodiscard]] bool has_answered() const;

    /// Ends the wait for the next request; one that has arrived is still served.
    void stop_reading();

    /// Ends all waits on it, also for an answer that is being sent.
    void abort() const;

private:
    int descriptor;
    mutable std::mutex mutex;
    std::optional<core::steady_time> waiting_since = std::chrono::steady_clock::now();
    bool has_answered_request = false;
    bool ending = false;
};

} // namespace rattanmount::front
