#pragma once

#include "core/time.h"
#include "stand_ins/faults.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::stand_ins {

/// One HTTP request as a role gets it.
struct stand_in_call {
    std::string method;
    std::vector<std::string> path;  ///< The segments, decoded.
    std::uint64_t from = 0;         ///< Query parameter "from".
    std::uint64_t max = UINT64_MAX; ///< Query parameter "max".
    std::string correlation;
    std::string request_id;      ///< Decoded: "team/key".
    core::milliseconds limit{0}; ///< 0: none.
    std::string known_version;   ///< The header If-None-Match.
    std::string body;
    std::string connection; ///< The peer's address and port.

    /// @return the stream, worker or executor that it is for; "" where there is none.
    [[nodiscard]] std::string target() const { return this->path.size() > 1 ? this->path[1] : ""; }
};

struct stand_in_reply {
    std::uint16_t status = 200;
    std::string body;
    std::string version; ///< The header ETag, where not empty.
    bool close = false;  ///< Close the connection after the answer.
};

/// What makes a server one of the platform's services. The server's threads call the hooks at once.
struct role_hooks {
    /// @return the name of the call, for faults; "" for calls of the test itself, which no fault hits.
    std::function<std::string(const stand_in_call&)> name;
    /// @throws core::invalid_argument for a call that cannot be taken; answered with status 400.
    std::function<stand_in_reply(const stand_in_call&)> handle;
    /// Told of each fault that is ordered.
    std::function<void(const fault&, core::steady_time now)> on_fault = [](const fault&, core::steady_time) {
    };
    std::function<void(const std::string& connection)> on_closed = [](const std::string&) {};
    /// Brings the state, and so the journal, up to now.
    std::function<void(core::steady_time now)> settle = [](core::steady_time) {};
};

/// @param status the HTTP status.
/// @param reason why a call was refused.
/// @return a reply that says that the call had no effect.
[[nodiscard]] stand_in_reply refusal(std::uint16_t status, const std::string& reason);

} // namespace rattanmount::stand_ins
