#include "tests/control/simulated_log.h"

#include <algorithm>

namespace rattanmount::tests {

core::log_offset simulated_log::append(const core::stream_id& stream, const std::string& bytes) {
    auto& all = this->entries[stream];
    all.push_back(bytes);
    return core::log_offset{all.size() - 1};
}

external::read_reply simulated_log::read(const core::stream_id& stream, core::log_offset from) const {
    external::read_reply reply{.available = true};
    const auto found = this->entries.find(stream);
    if (found == this->entries.end()) {
        return reply;
    }
    const auto retained = this->first_retained.find(stream);
    reply.first = core::log_offset{retained == this->first_retained.end() ? 0 : retained->second};
    reply.next = core::log_offset{found->second.size()};
    constexpr std::uint64_t max_entries = 50;
    const auto begin = std::max(from, reply.first).value();
    for (auto offset = begin; offset < found->second.size() && offset < begin + max_entries; ++offset) {
        reply.entries.push_back({.offset = core::log_offset{offset}, .bytes = found->second[offset]});
    }
    return reply;
}

void simulated_log::keep_newest(const core::stream_id& stream, std::size_t count) {
    const auto size = this->entries[stream].size();
    this->first_retained[stream] = size > count ? size - count : 0;
}

} // namespace rattanmount::tests
