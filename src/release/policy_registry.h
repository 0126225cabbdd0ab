#pragma once

#include "core/ids.h"
#include "release/note_result.h"
#include "release/policy_record.h"
#include "release/release_note.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::release {

/// All pools and teams in force, and the last policies of those that were withdrawn.
///
/// Apply release notes in log order; a result is final. Withdrawn names keep their last policy, their
/// revision and, for teams, their region. Deterministic: the same notes in the same order give the same
/// registry. A value type; the control thread owns the instance in force.
class policy_registry {
public:
    /// Applies a note atomically: all of its items or none.
    ///
    /// Optimistic concurrency: a change or withdrawal must name the revision in force. An addition must name
    /// revision 0 or, for a withdrawn name, the revision that the withdrawal created.
    /// @return whether the note was accepted; if not, the reason lists all invalid items.
    note_result apply(const release_note& note);

    /// @return the pool's policy in force, or null. Like all pointers from this class, it is valid until the
    ///         registry is changed.
    [[nodiscard]] const pool_policy* pool(const core::pool_id& name) const;

    /// @return the pool's policy in force or, if it was withdrawn, its last policy; null if it never existed.
    [[nodiscard]] const pool_policy* last_pool(const core::pool_id& name) const;

    /// @return the team's policy in force, or null.
    [[nodiscard]] const team_policy* team(const core::team_id& name) const;

    /// @return the team's policy in force or, if it was withdrawn, its last policy; null if it never existed.
    [[nodiscard]] const team_policy* last_team(const core::team_id& name) const;

    /// @return the number of notes that changed the pool, including withdrawals; 0 if it never existed.
    [[nodiscard]] core::revision_id revision(const core::pool_id& name) const;

    /// @return the number of notes that changed the team, including withdrawals; 0 if it never existed.
    [[nodiscard]] core::revision_id revision(const core::team_id& name) const;

    /// @return the pools in force, sorted by name.
    [[nodiscard]] std::vector<pool_policy> pools() const;

    /// @return the teams in force, sorted by name.
    [[nodiscard]] std::vector<team_policy> teams() const;

    /// @return all pools ever added, including withdrawn ones.
    [[nodiscard]] const std::map<core::pool_id, pool_record>& pool_records() const { return this->pool_map; }

    /// @return all teams ever added, including withdrawn ones.
    [[nodiscard]] const std::map<core::team_id, team_record>& team_records() const { return this->team_map; }

    /// Restores a pool from a snapshot.
    /// @param record an element of pool_records() when the snapshot was taken.
    void restore(pool_record record);

    /// Restores a team from a snapshot.
    /// @param record an element of team_records() when the snapshot was taken.
    void restore(team_record record);

    friend bool operator==(const policy_registry&, const policy_registry&) = default;

private:
    [[nodiscard]] std::optional<std::string> find_conflict(const note_item& item) const;
    void apply_item(const release_note& note, const note_item& item);

    std::map<core::pool_id, pool_record> pool_map;
    std::map<core::team_id, team_record> team_map;
};

} // namespace rattanmount::release
