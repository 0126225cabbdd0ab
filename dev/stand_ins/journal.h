#pragma once

#include "core/resources.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanmount::stand_ins {

enum class journal_kind : std::uint8_t {
    connection_opened,
    connection_closed,
    fault,     ///< A fault was ordered or took effect.
    append,    ///< An entry was stored.
    expire,    ///< Entries were dropped.
    list,      ///< The fleet list was replaced.
    lease,     ///< A lease was granted or renewed.
    start,     ///< A task or a request began to run.
    end,       ///< A task or a request stopped running.
    action,    ///< A task was stopped, checkpointed or throttled.
    refused,   ///< A call was refused and had no effect.
    answer,    ///< An executor's answer was handed to the connection.
    abandoned, ///< An executor gave a request up at its limit.
    violation  ///< A call that would have broken a limit of the target; it had no effect.
};

/// One event. Empty fields do not apply to its kind.
struct journal_entry {
    std::uint64_t number = 0; ///< Counts all entries, from 0.
    core::milliseconds at{0}; ///< Since 1970.
    journal_kind kind = journal_kind::fault;
    std::string target;                  ///< Stream, worker, executor or connection.
    std::string id;                      ///< Attempt or request.
    std::string holder;                  ///< Holder of the lease.
    std::uint64_t value = 0;             ///< Lease id, offset or version.
    std::string detail;                  ///< Why, or how it ended.
    std::optional<core::resources> each; ///< What a task takes, for start.
};

/// The record of all that happened at a stand-in, by which a test judges.
///
/// Owned by the program or the test; any thread may call.
class journal {
public:
    journal();

    /// Adds an entry; its number is filled in.
    /// @param now when it happened.
    /// @param entry the event.
    void add(core::steady_time now, journal_entry entry);

    /// @param from the first number wanted.
    /// @return the entries from there on.
    [[nodiscard]] std::vector<journal_entry> entries(std::uint64_t from = 0) const;

    /// @param kind a kind of event.
    /// @param target the target, or "" for any.
    /// @return how many entries there are.
    [[nodiscard]] std::size_t count(journal_kind kind, std::string_view target = "") const;

    /// @param from the first number wanted.
    /// @return {"next":n,"entries":[...]} in JSON.
    [[nodiscard]] std::string json(std::uint64_t from) const;

private:
    core::steady_time steady_origin;
    core::system_time system_origin;
    mutable std::mutex mutex;
    std::vector<journal_entry> all;
};

/// @param kind a kind of event.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(journal_kind kind);

} // namespace rattanmount::stand_ins
