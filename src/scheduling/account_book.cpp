#include "scheduling/account_book.h"

namespace rattanmount::scheduling {

team_account& account_book::team(const core::team_id& name) {
    auto& account = this->team_accounts[name];
    account.name = name;
    this->refresh(account);
    return account;
}

pool_account& account_book::pool(const core::pool_id& name) {
    auto& account = this->pool_accounts[name];
    account.name = name;
    this->refresh(account);
    return account;
}

void account_book::refresh(team_account& account) const {
    if (account.looked_up == this->round) {
        return;
    }
    account.looked_up = this->round;
    account.policy = this->options.team ? this->options.team(account.name) : nullptr;
    account.remote =
        this->options.remote_usage ? this->options.remote_usage(account.name) : core::resources{};
}

void account_book::refresh(pool_account& account) const {
    if (account.looked_up == this->round) {
        return;
    }
    account.looked_up = this->round;
    account.policy = this->options.pool ? this->options.pool(account.name) : nullptr;
}

} // namespace rattanmount::scheduling
