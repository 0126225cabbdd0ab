#include "core/request_tracker.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::core {

void request_tracker::begin() {
    const std::lock_guard lock{this->mutex};
    this->count++;
    this->last_change = std::chrono::steady_clock::now();
}

void request_tracker::end() {
    const std::lock_guard lock{this->mutex};
    assert(this->count > 0);
    this->count--;
    this->last_change = std::chrono::steady_clock::now();
    this->changed.notify_all();
}

std::uint32_t request_tracker::running() {
    const std::lock_guard lock{this->mutex};
    return this->count;
}

bool request_tracker::wait_until_idle(milliseconds idle_time, steady_time deadline) {
    std::unique_lock lock{this->mutex};
    for (;;) {
        const auto now = std::chrono::steady_clock::now();
        const bool idle = this->count == 0 && now >= this->last_change + idle_time;
        if (idle || now >= deadline) {
            return idle;
        }
        const auto next_check = this->count == 0 ? this->last_change + idle_time : deadline;
        this->changed.wait_until(lock, std::min(next_check, deadline));
    }
}

} // namespace rattanmount::core
