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
    // The timestamp is taken under the lock, so that the ring is sorted by time.
    const std::lock_guard lock{this->mutex};
    entry added{.at = this->options.now(), .kind = kind, .about = std::move(about)};
    ++this->recorded;
    if (this->ring.size() < this->options.capacity) {
        this->ring.push_back(std::move(added));
        return;
    }
    this->ring[this->oldest] = std::move(added);
    this->oldest = (this->oldest + 1) % this->options.capacity;
}

std::vector<event> timeline::events() const {
    std::vector<event> result;
    const std::lock_guard lock{this->mutex};
    result.reserve(this->ring.size());
    for (std::size_t i = 0; i < this->ring.size(); ++i) {
        const auto& each = this->ring[(this->oldest + i) % this->ring.size()];
        result.push_back({.at = each.at,
                          .host = this->options.host,
                          .incarnation = this->options.incarnation,
                          .kind = each.kind,
                          .about = each.about});
    }
    return result;
}

std::string timeline::to_json_lines() const {
    return telemetry::to_json_lines(this->events());
}

std::uint64_t timeline::overwritten_events() const {
    const std::lock_guard lock{this->mutex};
    return this->recorded - this->ring.size();
}

} // namespace rattanmount::telemetry
