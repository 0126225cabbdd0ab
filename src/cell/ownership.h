#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rattanmount::cell {

/// An entry host that may own shards.
struct claimant {
    core::host_id host;
    core::data_centre_id data_centre;
};

/// A shard and the data centre that its racks are in.
struct shard_place {
    core::shard_id shard;
    core::data_centre_id data_centre;
};

/// Returns the entry host that should own each shard, by capped rendezvous hashing. Hosts of the shard's own
/// data centre are preferred.
///
/// The result is only a preference: hosts that see different claimants compute different results, and claims
/// in the log decide. Adding or removing one claimant moves few shards besides its own.
/// @param claimants the hosts that may own shards, in any order.
/// @return the preferred owner of each shard; empty if there is no claimant.
[[nodiscard]] std::map<core::shard_id, core::host_id>
preferred_owners(const std::vector<shard_place>& shards, const std::vector<claimant>& claimants);

/// @param shards the shards of the region of the job's team; not empty.
/// @return the shard that the job belongs to; the same on every host and across restarts.
[[nodiscard]] core::shard_id home_shard(const core::job_id& id, const std::vector<core::shard_id>& shards);

/// @return a 64-bit hash that is the same in every process and build.
[[nodiscard]] std::uint64_t stable_hash(const std::string& text);

} // namespace rattanmount::cell
