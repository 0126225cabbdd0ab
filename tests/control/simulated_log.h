#pragma once

#include "core/ids.h"
#include "external/log_service.h"

#include <map>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// An in-memory log service that drops its oldest entries on demand. For one thread.
class simulated_log {
public:
    /// Stores an entry and returns its offset.
    core::log_offset append(const core::stream_id& stream, const std::string& bytes);
    /// @return the retained entries from an offset on.
    [[nodiscard]] external::read_reply read(const core::stream_id& stream, core::log_offset from) const;
    /// Drops all but the newest entries of a stream.
    void keep_newest(const core::stream_id& stream, std::size_t entries);
    [[nodiscard]] const std::map<core::stream_id, std::vector<std::string>>& streams() const {
        return this->entries;
    }

private:
    std::map<core::stream_id, std::vector<std::string>> entries;
    std::map<core::stream_id, std::uint64_t> first_retained;
};

} // namespace rattanmount::tests
