#include "inner/call_tracker.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::inner {

void* call_tracker::getContext(const char* /*name*/, void* /*server_context*/) {
    const std::lock_guard lock{this->mutex};
    this->running++;
    this->last_change = std::chrono::steady_clock::now();
    return nullptr;
}

void call_tracker::freeContext(void* /*context*/, const char* /*name*/) {
    const std::lock_guard lock{this->mutex};
    assert(this->running > 0);
    this->running--;
    this->last_change = std::chrono::steady_clock::now();
    this->changed.notify_all();
}

bool call_tracker::wait_quiet(core::milliseconds quiet_time, core::steady_time until) {
    std::unique_lock lock{this->mutex};
    for (;;) {
        const auto now = std::chrono::steady_clock::now();
        const bool quiet = this->running == 0 && now >= this->last_change + quiet_time;
        if (quiet || now >= until) {
            return quiet;
        }
        const auto next_check = this->running == 0 ? this->last_change + quiet_time : until;
        this->changed.wait_until(lock, std::min(next_check, until));
    }
}

} // namespace rattanmount::inner
