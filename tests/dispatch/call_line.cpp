#include "tests/dispatch/call_line.h"

#include <algorithm>

namespace rattanmount::tests {

std::optional<core::steady_time> call_line::pass(core::steady_time now, core::steady_time deadline) {
    if (!this->bounded()) {
        return now;
    }
    // Sending a call and reading its answer take half of the time of a call each.
    const auto half = std::chrono::duration_cast<core::steady_time::duration>(std::chrono::seconds{1}) /
                      (std::int64_t{this->calls_per_second} * 2);
    this->busy_until = std::max(this->busy_until, now) + half;
    return this->busy_until <= deadline ? std::optional{this->busy_until} : std::nullopt;
}

} // namespace rattanmount::tests
