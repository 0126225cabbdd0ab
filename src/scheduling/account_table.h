#pragma once

#include "scheduling/accounts.h"
#include "scheduling/scheduler_options.h"

#include <unordered_map>

namespace rattanmount::scheduling {

/// Keeps the accounts of all teams and pools of a shard. References to accounts stay valid.
///
/// Owned by the scheduler; the control thread only.
class account_table {
public:
    /// @param options the hooks that look policies up; outlives the book.
    explicit account_table(const scheduler_options& options) : options(options) {}

    /// Starts a new round, in which each policy is looked up anew on its first use.
    void start_lookup_round() { ++this->lookup_round; }

    /// @return the account of a team, made where there is none.
    team_account& team(const core::team_id& name);

    /// @return the account of a pool, made where there is none.
    pool_account& pool(const core::pool_id& name);

    /// Looks the team's policy and remote usage up, once a round.
    void refresh(team_account& account) const;

    /// Looks the pool's policy up, once a round.
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
