#include "scheduling/account_table.h"

namespace rattanmount::scheduling {

team_account& account_table::team(const core::team_id& name) {
    auto& account = this->team_accounts[name];
    account.name = name;
    this->refresh(account);
    return account;
}

pool_account& account_table::pool(const core::pool_id& name) {
    auto& account = this->pool_accounts[name];
    account.name = name;
    this->refresh(account);
    return account;
}

void account_table::refresh(team_account& account) const {
    if (account.lookup_round == this->lookup_round) {
        return;
    }
    account.lookup_round = this->lookup_round;
    account.policy = this->options.team ? this->options.team(account.name) : nullptr;
    account.remote_usage =
        this->options.remote_usage ? this->options.remote_usage(account.name) : core::resources{};
}

void account_table::refresh(pool_account& account) const {
    if (account.lookup_round == this->lookup_round) {
        return;
    }
    account.lookup_round = this->lookup_round;
    account.policy = this->options.pool ? this->options.pool(account.name) : nullptr;
}

} // namespace rattanmount::scheduling
