#include "telemetry/timeline.h"

#include "telemetry/event_text.h"

#include <cassert>
#include <utility>

namespace rattanmount::telemetry {

timeline::timeline(timeline_options options) : options(std::move(options)) {
    assert(this->options.now);
    assert(this->options.capacity > 0);
}

void timeline::record(event_kind kind, event_fields about) {
    // The time is taken under the lock, so that the ring is in the order of the times.
    const std::lock_guard lock{this->mutex};
    event added{.at = this->options.now(),
                .host = this->options.host,
                .incarnation = this->options.incarnation,
                .kind = kind,
                .about = std::move(about)};
    ++this->recorded;
    if (this->ring.size() < this->options.capacity) {
        this->ring.push_back(std::move(added));
        return;
    }
    this->ring[this->oldest] = std::move(added);
    this->oldest = (this->oldest + 1) % this->options.capacity;
}

std::vector<event> timeline::events() const {
    const std::lock_guard lock{this->mutex};
    const auto middle = this->ring.begin() + static_cast<std::ptrdiff_t>(this->oldest);
    std::vector<event> result{middle, this->ring.end()};
    result.insert(result.end(), this->ring.begin(), middle);
    return result;
}

std::string timeline::to_json_lines() const {
    return telemetry::to_json_lines(this->events());
}

std::uint64_t timeline::overwritten() const {
    const std::lock_guard lock{this->mutex};
    return this->recorded - this->ring.size();
}

} // namespace rattanmount::telemetry
