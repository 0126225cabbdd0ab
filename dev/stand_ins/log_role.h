#pragma once

#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace rattanmount::stand_ins {

struct log_role_options {
    std::size_t retention_entries = 0; ///< Entries kept per stream; 0: all.
    core::milliseconds retention{0};   ///< How long an entry is kept; 0: without limit.
};

/// Simulates the append-only log: streams of opaque entries at consecutive offsets, with limited retention.
///
/// Owned by the program or the test; must outlive its hooks. Thread-safe.
class log_role {
public:
    /// @param options the retention.
    /// @param events records appends; must outlive the role.
    log_role(log_role_options options, journal& events);

    /// Returns the hooks for a stand_in_server.
    [[nodiscard]] role_hooks hooks();

private:
    struct entry {
        std::string bytes;
        core::steady_time stored_at;
    };
    struct stream {
        std::uint64_t first = 0; ///< Offset of the oldest entry that is kept.
        std::deque<entry> entries;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply append(const stand_in_call& call, core::steady_time now);
    [[nodiscard]] stand_in_reply read(const stand_in_call& call, core::steady_time now);
    void expire(const fault& injected, core::steady_time now);
    void apply_retention(stream& trimmed, core::steady_time now) const;

    log_role_options options;
    journal& events;
    std::mutex mutex;
    std::map<std::string, stream> streams;
};

} // namespace rattanmount::stand_ins
