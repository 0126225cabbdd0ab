#pragma once

#include "core/ids.h"

#include <cstddef>
#include <vector>

namespace rattanmount::ledger {

/// Detects batches that were stored more than once, by the last applied sequence number of each producer.
///
/// Keeps only the most recently applied producers. That is enough because a delayed append takes effect
/// within the log service's own timeout, long before that many other producers have written. A value type,
/// part of a state machine.
class producer_table {
public:
    /// The last applied batch of one producer.
    struct entry {
        core::incarnation_id producer;
        core::sequence_number last_sequence;

        friend bool operator==(const entry&, const entry&) = default;
    };

    /// @param capacity the number of producers to keep; at least 1.
    explicit producer_table(std::size_t capacity);

    /// @return whether this batch or a later one of its producer was already applied.
    [[nodiscard]] bool is_duplicate(const core::incarnation_id& producer,
                                    core::sequence_number sequence) const;

    /// Called when a batch was applied. Makes its producer the most recent one, and drops the least recent
    /// one if the capacity is exceeded.
    void mark_applied(const core::incarnation_id& producer, core::sequence_number sequence);

    void clear();

    /// @return the producers, least recently applied first.
    [[nodiscard]] const std::vector<entry>& entries() const { return this->producers; }

private:
    std::size_t capacity;
    std::vector<entry> producers;
};

} // namespace rattanmount::ledger
