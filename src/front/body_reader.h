#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace rattanmount::front {

/// The result of reading a request body.
enum class body_read_result : std::uint8_t { complete, too_large, timed_out, truncated };

/// Reads the body of a request.
/// @param request the request, whose headers have been read.
/// @param max_bytes the largest body to accept.
/// @param deadline when to stop reading; checked after each chunk.
/// @param body receives the bytes that were read; complete only if the result is `complete`.
[[nodiscard]] body_read_result read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes,
                                         core::steady_time deadline, std::string& body);

} // namespace rattanmount::front
