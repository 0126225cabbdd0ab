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
    fault,     ///< A fault was injected.
    append,    ///< An entry was stored.
    expire,    ///< Entries were dropped.
    list,      ///< The fleet list was replaced.
    lease,     ///< A lease was granted or renewed.
    start,     ///< A task or a request started.
    end,       ///< A task or a request ended.
    action,    ///< A task was stopped, checkpointed or throttled.
    refused,   ///< A call was refused without effect.
    answer,    ///< An executor completed a request and returned its answer for sending.
    abandoned, ///< An executor stopped a request at its time limit.
    violation  ///< A call that exceeds a limit of the target was refused without effect.
};

/// An event. Fields that do not apply to its kind are empty.
struct journal_entry {
    std::uint64_t number = 0; ///< Consecutive over all entries, from 0.
    core::milliseconds at{0}; ///< Time since the Unix epoch.
    journal_kind kind = journal_kind::fault;
    std::string target;                  ///< Stream, worker, executor or connection.
    std::string id;                      ///< Attempt or request.
    std::string holder;                  ///< Holder of the lease.
    std::uint64_t value = 0;             ///< Lease id, offset or version.
    std::string detail;                  ///< Reason or result.
    std::optional<core::resources> each; ///< Resources of a task.
};

/// Records the events of a stand-in, for tests to check.
///
/// Owned by the program or the test; thread-safe.
class journal {
public:
    journal();

    /// Adds an entry and sets its number and time.
    /// @param now when the event happened.
    /// @param entry the event.
    void add(core::steady_time now, journal_entry entry);

    /// Returns the entries from a number on.
    /// @param from the first number.
    [[nodiscard]] std::vector<journal_entry> entries(std::uint64_t from = 0) const;

    /// Returns the number of entries of a kind.
    /// @param kind the kind of event.
    /// @param target the target, or "" for any.
    [[nodiscard]] std::size_t count(journal_kind kind, std::string_view target = "") const;

    /// Returns the entries from a number on as JSON: {"next":n,"entries":[...]}.
    /// @param from the first number.
    [[nodiscard]] std::string json(std::uint64_t from) const;

private:
    core::steady_time steady_origin;
    core::system_time system_origin;
    mutable std::mutex mutex;
    std::vector<journal_entry> recorded;
};

/// Returns the name of a kind of event, which is that of its enumerator.
[[nodiscard]] std::string_view to_string(journal_kind kind);

} // namespace rattanmount::stand_ins
