#pragma once

#include "external/log_service.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::test {

/// In-memory implementation of one stream of a log service.
class fake_log {
public:
    core::log_offset append(const std::string& bytes) {
        this->entries.push_back(bytes);
        return core::log_offset{this->entries.size() - 1};
    }

    external::read_reply read(core::log_offset from, std::size_t max_entries = 1000) const {
        external::read_reply reply;
        reply.available = true;
        reply.first = core::log_offset{this->oldest};
        reply.next = core::log_offset{this->entries.size()};
        std::uint64_t offset = std::max(from.value(), this->oldest);
        while (offset < this->entries.size() && reply.entries.size() < max_entries) {
            reply.entries.push_back({.offset = core::log_offset{offset}, .bytes = this->entries[offset]});
            ++offset;
        }
        return reply;
    }

    void expire(std::uint64_t first_kept) { this->oldest = std::max(this->oldest, first_kept); }

    std::uint64_t first() const { return this->oldest; }
    std::uint64_t next() const { return this->entries.size(); }
    const std::string& at(std::uint64_t offset) const { return this->entries.at(offset); }

private:
    std::vector<std::string> entries;
    std::uint64_t oldest = 0;
};

} // namespace rattanmount::test
