#pragma once

#include "core/ids.h"

#include <cstddef>
#include <vector>

namespace rattanmount::ledger {

/// Finds batches that were stored more than once: the last sequence that counted of each producer.
///
/// Holds the producers that counted most recently; an append that takes effect late does so within the
/// log service's own timeout, long before that many others have written. A value type, part of a fold.
class producer_table {
public:
    /// The last batch that counted of one producer.
    struct entry {
        core::incarnation_id producer;
        core::sequence_number last;

        friend bool operator==(const entry&, const entry&) = default;
    };

    /// @param capacity how many producers to hold; at least 1.
    explicit producer_table(std::size_t capacity);

    /// @param producer who wrote a batch.
    /// @param sequence the batch's number.
    /// @return whether that batch or a later one of the producer has counted.
    [[nodiscard]] bool repeats(const core::incarnation_id& producer, core::sequence_number sequence) const;

    /// Notes that a batch counted and makes its producer the newest.
    /// @param producer who wrote it.
    /// @param sequence its number.
    void count(const core::incarnation_id& producer, core::sequence_number sequence);

    /// Forgets all producers.
    void clear();

    /// @return the producers, from the one that has not counted for longest to the newest.
    [[nodiscard]] const std::vector<entry>& entries() const { return this->producers; }

private:
    std::size_t capacity;
    std::vector<entry> producers;
};

} // namespace rattanmount::ledger
