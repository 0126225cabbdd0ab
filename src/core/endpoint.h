#pragma once

#include <cstdint>
#include <string>

namespace rattanmount::core {

/// The address of a listening process: an IP address, a port and, for HTTP, the path prefix of all calls.
struct endpoint {
    std::string address; ///< An IP address without brackets, never a host name.
    std::uint16_t port = 0;
    std::string path; ///< "" or for example "/workers/w1", without a trailing slash.

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    /// @return "address:port" followed by the path.
    [[nodiscard]] std::string text() const;

    /// Parses an endpoint.
    /// @param text "address:port" or "address:port/path"; an IPv6 address may be in brackets.
    /// @throws core::invalid_argument if the text has no valid port or if the address is not an IP address.
    [[nodiscard]] static endpoint parse(const std::string& text);
};

} // namespace rattanmount::core
