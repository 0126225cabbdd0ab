#include "cell/ownership.h"

#include <cassert>
#include <optional>
#include <string>

namespace rattanmount::cell {

namespace {

std::uint64_t score(const core::shard_id shard, const core::host_id& host) {
    return stable_hash(std::to_string(shard.value()) + "|" + host.value());
}

struct choice {
    bool same_data_centre = false;
    std::uint64_t score = 0;
    core::host_id host;

    friend auto operator<=>(const choice&, const choice&) = default;
};

} // namespace

std::uint64_t stable_hash(const std::string& text) {
    constexpr std::uint64_t offset_basis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = offset_basis;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    // The high bits of FNV-1a hashes of short texts hardly differ; the final mixing step spreads them.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

std::map<core::shard_id, core::host_id> preferred_owners(const std::vector<shard_place>& shards,
                                                         const std::vector<claimant>& claimants) {
    std::map<core::shard_id, core::host_id> owners;
    if (claimants.empty()) {
        return owners;
    }
    const std::size_t max_shards_per_host = (shards.size() + claimants.size() - 1) / claimants.size();
    std::map<core::host_id, std::size_t> shard_counts;
    for (const auto& place : shards) {
        std::optional<choice> best;
        for (const auto& candidate : claimants) {
            if (shard_counts[candidate.host] >= max_shards_per_host) {
                continue;
            }
            choice next{.same_data_centre = candidate.data_centre == place.data_centre,
                        .score = score(place.shard, candidate.host),
                        .host = candidate.host};
            if (!best || next > *best) {
                best = std::move(next);
            }
        }
        if (best) {
            ++shard_counts[best->host];
            owners[place.shard] = best->host;
        }
    }
    return owners;
}

core::shard_id home_shard(const core::job_id& id, const std::vector<core::shard_id>& shards) {
    assert(!shards.empty());
    return shards[stable_hash(id.text()) % shards.size()];
}

} // namespace rattanmount::cell
