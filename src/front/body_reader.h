#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace rattanmount::front {

/// How the reading of a body ended.
enum class body_read_result : std::uint8_t { complete, too_large, timed_out, truncated };

/// Reads the body of a request.
/// @param request the request, whose head has been read.
/// @param max_bytes the largest body to take.
/// @param until when to give up.
/// @param body takes what was read; whole only where the verdict says so.
/// @return how it ended.
[[nodiscard]] body_read_result read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes,
                                     core::steady_time deadline, std::string& body);

} // namespace rattanmount::front
