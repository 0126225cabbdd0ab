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
    std::size_t retention_entries = 0; ///< Newest entries kept in each stream; 0: all.
    core::milliseconds retention{0};   ///< How long an entry is kept; 0: for ever.
};

/// The append-only log: streams of opaque entries at rising offsets, kept for a limited time.
///
/// Owned by the program or the test; its hooks refer to it. Any thread may call.
class log_role {
public:
    /// @param options what is kept.
    /// @param log where appends are recorded; must outlive the role.
    log_role(log_role_options options, journal& log);

    /// @return the calls of the role.
    [[nodiscard]] role_hooks hooks();

private:
    struct entry {
        std::string bytes;
        core::steady_time stored_at;
    };
    struct stream {
        std::uint64_t first = 0;
        std::deque<entry> entries;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply append(const stand_in_call& call, core::steady_time now);
    [[nodiscard]] stand_in_reply read(const stand_in_call& call, core::steady_time now);
    void expire(const fault& ordered, core::steady_time now);
    void drop_old(stream& kept, core::steady_time now) const;

    log_role_options options;
    journal& log;
    std::mutex mutex;
    std::map<std::string, stream> streams;
};

} // namespace rattanmount::stand_ins
