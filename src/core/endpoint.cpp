#include "core/endpoint.h"

#include "core/errors.h"

#include <charconv>

namespace rattanmount::core {

std::string endpoint::text() const {
    return this->address + ":" + std::to_string(this->port) + this->path;
}

endpoint endpoint::parse(const std::string& text) {
    const auto slash = text.find('/');
    const auto authority = text.substr(0, slash);
    const auto colon = authority.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw invalid_argument("expected an IP address and a port, got '" + text + "'");
    }
    const auto address = authority.substr(0, colon);
    if (address.find_first_not_of("0123456789.:abcdefABCDEF[]") != std::string::npos) {
        throw invalid_argument("expected an IP address, got '" + address + "'");
    }
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
