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

/// Where a shard's racks are.
struct shard_place {
    core::shard_id shard;
    core::data_centre_id data_centre;
};

/// Says which entry host should own each shard: capped rendezvous hashing, hosts of the shard's own data
/// centre first.
///
/// The answer is a preference and no promise: hosts that see other claimants come to other answers, and the
/// claims in the log decide. A change of one claimant moves few shards besides its own.
/// @param shards all shards of the cell.
/// @param claimants the hosts that may own shards, in any order.
/// @return the preferred owner of each shard; empty where there is no claimant.
[[nodiscard]] std::map<core::shard_id, core::host_id>
preferred_owners(const std::vector<shard_place>& shards, const std::vector<claimant>& claimants);

/// @param id the identity of a job.
/// @param shards the shards that keep jobs of its team's region; not empty.
/// @return the shard that keeps the job; the same on every host and over restarts.
[[nodiscard]] core::shard_id home_shard(const core::job_id& id, const std::vector<core::shard_id>& shards);

/// A hash that is the same in every process and build.
/// @param text what to hash.
/// @return its 64-bit hash.
[[nodiscard]] std::uint64_t stable_hash(const std::string& text);

} // namespace rattanmount::cell
