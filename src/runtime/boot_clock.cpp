#include "runtime/boot_clock.h"

#include <ctime>

namespace rattanmount::runtime {

core::steady_time boot_time() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return core::steady_time{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

} // namespace rattanmount::runtime
