#include "control/shard_ownership.h"

#include "cell/ownership.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

shard_ownership::shard_ownership(shard_ownership_options options, const cell::cell_layout& layout,
                                 const cell::membership& members, const shard_table& shards)
    : options(std::move(options)), layout(layout), members(members), shards(shards) {}

void shard_ownership::decide(core::steady_time now) {
    const auto preferred = cell::preferred_owners(this->layout.shards(), this->members.claimants(now));
    for (const auto& [shard, owner] : preferred) {
        if (owner == this->options.host) {
            this->claim_if_unowned(shard, now);
        } else {
            this->release_if_settled(shard, now);
        }
    }
}

void shard_ownership::claim_if_unowned(core::shard_id shard, core::steady_time now) {
    this->preferred_elsewhere_since.erase(shard);
    if (this->shards.find(shard) == nullptr && this->members.owner_of(shard, now) == nullptr) {
        this->options.claim(shard);
    }
}

void shard_ownership::release_if_settled(core::shard_id shard, core::steady_time now) {
    auto* controller = this->shards.find(shard);
    if (controller == nullptr) {
        return;
    }
    const auto since = this->preferred_elsewhere_since.try_emplace(shard, now).first->second;
    if (!controller->owned() || now - since >= this->options.rebalance_after) {
        controller->release(now);
    }
}

bool shard_ownership::can_take_over(core::shard_id shard, const ledger::shard_owner& owner,
                                    core::steady_time now) {
    const auto* view = this->members.live_view(owner.host, now);
    if (view == nullptr || view->incarnation != owner.incarnation) {
        return true;
    }
    if (std::ranges::find(view->shards, shard, &cell::shard_view::shard) != view->shards.end()) {
        this->unlisted_since.erase(shard);
        return false;
    }
    // A live owner that does not list the shard has given it up without a record, or has not yet learned that
    // its claim succeeded.
    const auto since = this->unlisted_since.try_emplace(shard, now).first->second;
    if (now - since < this->options.suspect_after) {
        return false;
    }
    this->unlisted_since.erase(shard);
    return true;
}

} // namespace rattanmount::control
