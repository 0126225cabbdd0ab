#pragma once

#include "core/ids.h"
#include "tenancy/keyed_hash.h"
#include "tenancy/team_policy.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanmount::tenancy {

/// Finds the team that a key belongs to.
///
/// The look-up takes the time of one hash, however many keys there are, and compares keys in constant time,
/// so that the time of an answer tells nothing about the keys that exist. Immutable: a new version of the
/// configuration gets a new ring only if its teams have changed. Any thread may read it.
class key_ring {
public:
    /// @param teams the teams with their keys. A key that two teams have belongs to neither.
    explicit key_ring(const std::vector<team_policy>& teams);

    /// @param key the key that a caller has sent.
    /// @return its team, or nothing if no team has the key.
    [[nodiscard]] std::optional<core::team_id> team_of(const api_key& key) const;

    /// @return the number of different keys.
    [[nodiscard]] std::size_t size() const { return this->owners.size(); }

private:
    struct owner {
        api_key key;
        core::team_id team;
        bool ambiguous = false; ///< More than one team has the key.
    };

    void add(const api_key& key, const core::team_id& team);

    keyed_hash hash;
    std::unordered_multimap<std::uint64_t, owner> owners; ///< By hash.
};

/// @param key a key.
/// @return a short text that distinguishes keys in the log lines of one process and does not allow to guess
/// them.
[[nodiscard]] std::string fingerprint_of(const api_key& key);

} // namespace rattanmount::tenancy
