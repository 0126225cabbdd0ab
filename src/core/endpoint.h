#pragma once

#include <cstdint>
#include <string>

namespace rattanmount::core {

/// Where a process listens: an IP number, a port and, for HTTP, the path in front of all calls.
struct endpoint {
    std::string address; ///< An IP number, never a name.
    std::uint16_t port = 0;
    std::string path; ///< "" or "/workers/w1", without a slash at its end.

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    /// @return "address:port/path".
    [[nodiscard]] std::string text() const;

    /// @param text "address:port" or "address:port/path".
    /// @return the endpoint.
    /// @throws core::invalid_argument where the text has no port or no IP number.
    [[nodiscard]] static endpoint parse(const std::string& text);
};

} // namespace rattanmount::core
