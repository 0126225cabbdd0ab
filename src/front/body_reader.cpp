#include "front/body_reader.h"

#include <array>
#include <istream>

namespace rattanmount::front {

namespace {

constexpr std::size_t read_chunk_bytes = 16384;
/// A body that is too large is read and discarded up to this size, so that the sender can finish sending and
/// read the response.
constexpr std::uint64_t max_drained_bytes = 16'777'216;

} // namespace

body_read_result read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes,
                           core::steady_time deadline, std::string& body) {
    std::array<char, read_chunk_bytes> chunk{};
    std::uint64_t received = 0;
    auto& stream = request.stream();
    while (stream.good()) {
        stream.read(chunk.data(), chunk.size());
        const auto size = static_cast<std::size_t>(stream.gcount());
        received += size;
        if (received <= max_bytes) {
            body.append(chunk.data(), size);
        }
        if (received > max_drained_bytes) {
            break;
        }
        if (std::chrono::steady_clock::now() > deadline) {
            return body_read_result::timed_out;
        }
    }
    if (received > max_bytes) {
        return body_read_result::too_large;
    }
    const bool has_length = request.hasContentLength();
    if (has_length && received != static_cast<std::uint64_t>(request.getContentLength64())) {
        return body_read_result::truncated;
    }
    return body_read_result::complete;
}

} // namespace rattanmount::front
