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

/// Writes a generated Thrift structure with the compact protocol.
/// @param value the structure.
/// @return its bytes.
template <typename Generated>
[[nodiscard]] std::string to_bytes(const Generated& value) {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a generated Thrift structure with the compact protocol.
/// @param bytes what to_bytes() wrote.
/// @return the structure.
/// @throws core::invalid_argument where the bytes are not a whole structure and nothing else.
template <typename Generated>
[[nodiscard]] Generated from_bytes(const std::string& bytes) {
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.empty() || bytes.size() > std::numeric_limits<std::int32_t>::max()) {
        throw core::invalid_argument("a log entry of " + std::to_string(bytes.size()) + " bytes");
    }
    const auto size = static_cast<std::int32_t>(bytes.size());
    // The buffer only observes the bytes; its interface takes them without const.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer =
        std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(size), TMemoryBuffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, size);
    Generated value;
    try {
        value.read(&protocol);
    } catch (const apache::thrift::TException& failure) {
        throw core::invalid_argument(std::string{"a log entry cannot be read: "} + failure.what());
    }
    if (buffer->available_read() != 0) {
        throw core::invalid_argument("a log entry has " + std::to_string(buffer->available_read()) +
                                     " bytes after its end");
    }
    return value;
}

} // namespace rattanmount::ledger
