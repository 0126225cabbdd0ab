#pragma once

#include "core/errors.h"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace rattanmount::ledger {

/// Encodes a generated Thrift structure with the compact protocol.
template <typename Generated>
[[nodiscard]] std::string to_bytes(const Generated& value) {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a generated Thrift structure with the compact protocol.
/// @throws core::invalid_argument if the bytes are not exactly one complete structure.
template <typename Generated>
[[nodiscard]] Generated from_bytes(const std::string& bytes) {
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.empty() || bytes.size() > std::numeric_limits<std::int32_t>::max()) {
        throw core::invalid_argument("cannot decode a log entry of " + std::to_string(bytes.size()) +
                                     " bytes: expected 1 to 2147483647 bytes");
    }
    const auto size = static_cast<std::int32_t>(bytes.size());
    // TMemoryBuffer::OBSERVE only reads the bytes, but its constructor takes a non-const pointer.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer =
        std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(size), TMemoryBuffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, size);
    Generated value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException& failure) {
        throw core::invalid_argument(std::string{"cannot decode a log entry: "} + failure.what());
    }
    if (buffer->available_read() != 0) {
        throw core::invalid_argument(
            "cannot decode a log entry: " + std::to_string(buffer->available_read()) +
            " unexpected bytes after its end");
    }
    return value;
}

} // namespace rattanmount::ledger
