#pragma once

#include "cell/cell_layout.h"
#include "cell/membership.h"
#include "control/shard_table.h"
#include "core/ids.h"
#include "core/time.h"
#include "ledger/shard_state_machine.h"

#include <functional>
#include <map>

namespace rattanmount::control {

struct shard_ownership_options {
    core::host_id host;
    /// A live owner that has not listed its shard for this long does not own it any more.
    core::milliseconds suspect_after{3000};
    /// A shard is handed over after another host has been preferred for this long.
    core::milliseconds rebalance_after{10000};
    /// Adds a controller, which tries to claim the shard.
    std::function<void(core::shard_id)> claim;
};

/// Decides which shards this entry host should claim, take over and hand over.
///
/// Its decisions are hints: claims in the log decide who owns a shard. Owned by host_control; used by the
/// control thread only.
class shard_ownership {
public:
    /// @param layout the cell's shards; must outlive this object.
    /// @param members the other entry hosts; must outlive this object.
    /// @param shards this host's shards; must outlive this object.
    shard_ownership(shard_ownership_options options, const cell::cell_layout& layout,
                    const cell::membership& members, const shard_table& shards);
    ~shard_ownership() = default;
    shard_ownership(const shard_ownership&) = delete;
    shard_ownership& operator=(const shard_ownership&) = delete;

    /// Claims the shards that have no owner and should be here, and releases those that should be elsewhere.
    void decide(core::steady_time now);

    /// @param owner the recorded owner of the shard.
    /// @return whether the shard may be taken from that owner, because it is no longer heard or no longer
    ///         lists the shard.
    [[nodiscard]] bool can_take_over(core::shard_id shard, const ledger::shard_owner& owner,
                                     core::steady_time now);

private:
    void claim_if_unowned(core::shard_id shard, core::steady_time now);
    void release_if_settled(core::shard_id shard, core::steady_time now);

    shard_ownership_options options;
    const cell::cell_layout& layout;
    const cell::membership& members;
    const shard_table& shards;
    std::map<core::shard_id, core::steady_time> preferred_elsewhere_since;
    /// Since when the recorded owner of a shard, although live, has not listed the shard in its view.
    std::map<core::shard_id, core::steady_time> unlisted_since;
};

} // namespace rattanmount::control
