#pragma once

#include "scheduling/accounts.h"
#include "scheduling/scheduler_options.h"

#include <unordered_map>

namespace rattanmount::scheduling {

/// The accounts of all teams and pools of a shard. References to accounts stay valid.
///
/// Owned by the scheduler; used on the control thread only.
class account_table {
public:
    /// @param options the hooks that look up policies; must outlive the table.
    explicit account_table(const scheduler_options& options) : options(options) {}

    /// Expires all policies: each one is looked up again when it is next used.
    void start_lookup_round() { ++this->lookup_round; }

    /// @return the account of a team, created if there is none.
    team_account& team(const core::team_id& name);

    /// @return the account of a pool, created if there is none.
    pool_account& pool(const core::pool_id& name);

    /// Looks up the team's policy and remote usage, at most once per round.
    void refresh(team_account& account) const;

    /// Looks up the pool's policy, at most once per round.
    void refresh(pool_account& account) const;

    [[nodiscard]] const std::unordered_map<core::team_id, team_account>& teams() const {
        return this->team_accounts;
    }

private:
    const scheduler_options& options;
    std::uint64_t lookup_round = 1;
    std::unordered_map<core::team_id, team_account> team_accounts;
    std::unordered_map<core::pool_id, pool_account> pool_accounts;
};

} // namespace rattanmount::scheduling
