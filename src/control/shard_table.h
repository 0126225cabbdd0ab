#pragma once

#include "control/shard_controller.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace rattanmount::control {

/// The controllers of the shards that this entry host owns or wants to own.
///
/// Owned by host_control; used by the control thread only.
class shard_table {
public:
    /// Adds the controller of a shard that has none.
    /// @return the controller.
    shard_controller& add(core::shard_id shard, std::unique_ptr<shard_controller> controller);

    /// Ticks all controllers and removes those that have released their shards.
    void tick(core::steady_time now);

    /// Removes all controllers without handing their shards over.
    void drop_all();

    /// @return the controller of the shard, or nullptr.
    [[nodiscard]] shard_controller* find(core::shard_id shard) const;
    /// @return the controller of the shard if this host owns it, else nullptr.
    [[nodiscard]] shard_controller* find_owned(core::shard_id shard) const;
    /// @return the controller that reads and writes the stream, or nullptr.
    [[nodiscard]] shard_controller* find_stream(const core::stream_id& stream) const;

    /// @return the first batch number that a new controller of the shard may use: a producer's batches are
    ///         numbered consecutively over its incarnation.
    [[nodiscard]] core::sequence_number next_sequence(core::shard_id shard) const;

    /// @return all controllers with their shards, ordered by shard.
    [[nodiscard]] const std::map<core::shard_id, std::unique_ptr<shard_controller>>& all() const {
        return this->controllers;
    }

    /// @return the controllers of the shards that this host owns, ordered by shard; valid until the next
    ///         tick() or drop_all().
    [[nodiscard]] std::vector<shard_controller*> owned() const;

    /// @return the number of shards that this host owns.
    [[nodiscard]] std::size_t owned_count() const;

private:
    std::map<core::shard_id, std::unique_ptr<shard_controller>> controllers;
    /// Next batch numbers in the streams of shards that have or had a controller.
    std::map<core::shard_id, core::sequence_number> next_sequences;
};

} // namespace rattanmount::control
