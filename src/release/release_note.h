#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattanmount::release {

/// The policy of a pool: the kind of work it accepts, its priority, and how its tasks are scheduled.
struct pool_policy {
    core::pool_id name;
    core::work_kind kind = core::work_kind::batch;
    std::uint32_t priority = 0; ///< From 0 to 1000; higher is scheduled first.
    bool urgent = false;        ///< Goes ahead of all non-urgent work and may use the reserved capacity.
    /// Its tasks may be throttled, checkpointed or stopped to make room for urgent work.
    bool preemptible = false;
    bool spread = false;      ///< Whether its tasks are spread over racks.
    std::uint32_t weight = 1; ///< Relative share of the capacity among pools of the same priority.
    double max_share = 1.0;   ///< Largest fraction of a shard's capacity that its tasks may hold, 0 to 1.
    core::milliseconds quick_limit{2000};   ///< For quick work: the longest time that a caller waits.
    std::uint32_t queue_limit = 10000;      ///< Largest number of jobs or requests queued on one entry host.
    std::vector<core::service_id> services; ///< For quick work: the services that may be called.

    friend bool operator==(const pool_policy&, const pool_policy&) = default;
};

/// The policy of a team: the region where its work runs, and its quota.
struct team_policy {
    core::team_id name;
    /// Immutable once the team is added, because it decides where the team's keys are kept.
    core::region_id region;
    core::resources quota;    ///< For the whole region; an amount of 0 means no limit.
    std::uint32_t weight = 1; ///< Relative share of the capacity among teams.

    friend bool operator==(const team_policy&, const team_policy&) = default;
};

enum class item_change : std::uint8_t { add, change, withdraw };

/// One item of a release note: adds, changes or withdraws a pool or a team.
struct note_item {
    item_change change = item_change::add;
    /// The revision that the item was written against; 0 when adding a name that never existed.
    core::revision_id replaces;
    std::variant<pool_policy, team_policy> policy; ///< For a withdrawal only the name is used.

    friend bool operator==(const note_item&, const note_item&) = default;
};

/// A set of policy changes submitted by an operator. Applied atomically, in log order.
struct release_note {
    core::note_id id;
    std::string author;
    std::vector<note_item> items;

    friend bool operator==(const release_note&, const release_note&) = default;
};

} // namespace rattanmount::release
