#include "inner/framing.h"

#include <thrift/TOutput.h>

#include <cstdint>
#include <mutex>

namespace rattanmount::inner {

namespace {

constexpr std::uint32_t initial_buffer_bytes = 512;
/// A connection frees a larger buffer after the message that needed it.
constexpr std::uint32_t max_retained_buffer_bytes = 65536;

} // namespace

std::shared_ptr<apache::thrift::TConfiguration> make_limits(std::size_t max_message_bytes) {
    const auto bytes = static_cast<int>(max_message_bytes);
    return std::make_shared<apache::thrift::TConfiguration>(bytes, bytes);
}

std::shared_ptr<apache::thrift::transport::TTransport>
make_framed(const std::shared_ptr<apache::thrift::transport::TTransport>& socket,
            const std::shared_ptr<apache::thrift::TConfiguration>& limits) {
    return std::make_shared<apache::thrift::transport::TFramedTransport>(socket, initial_buffer_bytes,
                                                                         max_retained_buffer_bytes, limits);
}

void silence_thrift_output() {
    static std::once_flag once;
    std::call_once(once, [] { apache::thrift::GlobalOutput.setOutputFunction([](const char*) {}); });
}

} // namespace rattanmount::inner
