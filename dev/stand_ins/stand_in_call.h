#pragma once

#include "core/time.h"
#include "stand_ins/faults.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::stand_ins {

/// An HTTP request, decoded for a role.
struct stand_in_call {
    std::string method;
    std::vector<std::string> path;  ///< Percent-decoded segments.
    std::uint64_t from = 0;         ///< Query parameter "from": the first offset or number to return.
    std::uint64_t max = UINT64_MAX; ///< Query parameter "max": the limit of an answer's payload, in bytes.
    std::string correlation;
    std::string request_id;      ///< Percent-decoded: "team/key".
    core::milliseconds limit{0}; ///< Time that the caller allows; 0: unlimited.
    std::string if_none_match;   ///< Header If-None-Match.
    std::string body;
    std::string connection; ///< The peer's address and port.

    /// Returns the stream, worker or executor that the path names, or "" if it names none.
    [[nodiscard]] std::string target() const { return this->path.size() > 1 ? this->path[1] : ""; }
};

/// The HTTP response of a role.
struct stand_in_reply {
    std::uint16_t status = 200;
    std::string body;
    std::string etag;              ///< Header ETag; "" omits it.
    bool close_connection = false; ///< Whether the connection is closed after the response.
};

/// The behaviour of one platform service. The threads of the server call the hooks concurrently.
struct role_hooks {
    /// Returns the name of the call that faults match, or "" for calls that a test makes itself; faults do
    /// not apply to those.
    std::function<std::string(const stand_in_call&)> call_name;
    /// Handles a call.
    /// @throws core::invalid_argument if the call is malformed; the server answers with status 400.
    std::function<stand_in_reply(const stand_in_call&)> handle;
    /// Called for each fault that is injected.
    std::function<void(const fault&, core::steady_time now)> on_fault = [](const fault&, core::steady_time) {
    };
    /// Called when a client connection has ended, with the peer's address and port.
    std::function<void(const std::string& connection)> on_connection_closed = [](const std::string&) {};
    /// Advances the simulated state to the given time and records what happened since the last call. Called
    /// before the journal is read.
    std::function<void(core::steady_time now)> advance_to = [](core::steady_time) {};
};

/// Creates a reply that reports that the call was refused and had no effect.
/// @param status the HTTP status.
/// @param reason why the call was refused.
[[nodiscard]] stand_in_reply refusal(std::uint16_t status, const std::string& reason);

} // namespace rattanmount::stand_ins
