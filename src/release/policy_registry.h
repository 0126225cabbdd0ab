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

/// All pools and teams in force, and what is left of those withdrawn.
///
/// Apply release notes in the order of the log; a result is never taken back. Names that were withdrawn
/// keep their last policy, their revision and, for teams, their region. Pure: the same notes in the same
/// order give the same book. A value type; the control thread owns the one in force.
class policy_book {
public:
    /// Applies a note whole or not at all.
    ///
    /// A change or withdrawal must name the revision in force. An addition names 0, or, for a name that
    /// was withdrawn, the revision that the withdrawal made.
    /// @param note the note.
    /// @return whether it won, and otherwise all items at fault.
    note_result apply(const release_note& note);

    /// @param name a pool.
    /// @return its policy in force, or null. Valid until the next change of the book, as are all others.
    [[nodiscard]] const pool_policy* pool(const core::pool_id& name) const;

    /// @param name a pool.
    /// @return its policy in force or the last one before its withdrawal, or null where it never was.
    [[nodiscard]] const pool_policy* last_pool(const core::pool_id& name) const;

    /// @param name a team.
    /// @return its policy in force, or null.
    [[nodiscard]] const team_policy* team(const core::team_id& name) const;

    /// @param name a team.
    /// @return its policy in force or the last one before its withdrawal, or null where it never was.
    [[nodiscard]] const team_policy* last_team(const core::team_id& name) const;

    /// @param name a pool.
    /// @return how many notes changed it, withdrawals included; 0 where it never was.
    [[nodiscard]] core::revision_id revision(const core::pool_id& name) const;

    /// @param name a team.
    /// @return how many notes changed it, withdrawals included; 0 where it never was.
    [[nodiscard]] core::revision_id revision(const core::team_id& name) const;

    /// @return the pools in force, in the order of their names.
    [[nodiscard]] std::vector<pool_policy> pools() const;

    /// @return the teams in force, in the order of their names.
    [[nodiscard]] std::vector<team_policy> teams() const;

    /// @return all pools ever added.
    [[nodiscard]] const std::map<core::pool_id, pool_record>& pool_records() const { return this->pool_map; }

    /// @return all teams ever added.
    [[nodiscard]] const std::map<core::team_id, team_record>& team_records() const { return this->team_map; }

    /// Puts back a pool as a snapshot has it.
    /// @param record what pool_records() held.
    void restore(pool_record record);

    /// Puts back a team as a snapshot has it.
    /// @param record what team_records() held.
    void restore(team_record record);

    friend bool operator==(const policy_book&, const policy_book&) = default;

private:
    [[nodiscard]] std::optional<std::string> fault_of(const note_item& item) const;
    void apply_item(const release_note& note, const note_item& item);

    std::map<core::pool_id, pool_record> pool_map;
    std::map<core::team_id, team_record> team_map;
};

} // namespace rattanmount::release
