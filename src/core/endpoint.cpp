#include "core/endpoint.h"

#include "core/errors.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace rattanmount::core {

namespace {

bool is_ip_address(int family, const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return ::inet_pton(family, text.c_str(), address.data()) == 1;
}

/// Returns an IP address without the brackets in which an IPv6 address may be written.
std::string parse_address(const std::string& text) {
    const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    auto address = bracketed ? text.substr(1, text.size() - 2) : text;
    if (!is_ip_address(AF_INET6, address) && (bracketed || !is_ip_address(AF_INET, address))) {
        throw invalid_argument("expected an IP address, got '" + text + "'");
    }
    return address;
}

} // namespace

std::string endpoint::text() const {
    const bool bracketed = this->address.find(':') != std::string::npos;
    return (bracketed ? "[" + this->address + "]" : this->address) + ":" + std::to_string(this->port) +
           this->path;
}

endpoint endpoint::parse(const std::string& text) {
    const auto slash = text.find('/');
    const auto authority = text.substr(0, slash);
    const auto colon = authority.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw invalid_argument("expected an IP address and a port, got '" + text + "'");
    }
    const auto address = parse_address(authority.substr(0, colon));
    std::uint16_t port = 0;
    const char* first = authority.data() + colon + 1;
    const char* last = authority.data() + authority.size();
    const auto [end, error] = std::from_chars(first, last, port);
    if (error != std::errc{} || end != last || port == 0) {
        throw invalid_argument("expected a port from 1 to 65535 after the address, got '" + text + "'");
    }
    return endpoint{
        .address = address, .port = port, .path = slash == std::string::npos ? "" : text.substr(slash)};
}

} // namespace rattanmount::core
