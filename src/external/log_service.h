#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::external {

/// The outcome of an append.
enum class append_outcome : std::uint8_t {
    stored,     ///< Stored, at the returned offset.
    not_stored, ///< Not stored and never will be: it was refused or never sent.
    unknown     ///< Sent, but no valid answer arrived; it may be stored now or later.
};

struct append_reply {
    append_outcome outcome = append_outcome::unknown;
    core::log_offset offset; ///< Where the entry is stored, for `stored`.
    std::string reason;      ///< Why it is not known to be stored, in plain text.
};

/// One entry of a stream: opaque bytes at an offset.
struct log_entry {
    core::log_offset offset;
    std::string bytes;
};

struct read_reply {
    bool available = false;         ///< false if the service gave no valid answer; only `reason` is set then.
    core::log_offset first;         ///< The oldest offset that the service still retains.
    core::log_offset next;          ///< The offset that the next append will get.
    std::vector<log_entry> entries; ///< From max(from, first), in order and contiguous.
    std::string reason;             ///< Why the entries are not available.
};

/// The platform's append-only log service, as hooks. Blocking; any traffic thread may call them.
struct log_service {
    std::function<append_reply(const core::stream_id&, const std::string& bytes, core::milliseconds timeout)>
        append;
    std::function<read_reply(const core::stream_id&, core::log_offset from, std::size_t max_bytes,
                             core::milliseconds timeout)>
        read;
};

} // namespace rattanmount::external
