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

/// A pool of work: which work it takes, how urgent it is and how it is treated.
struct pool_policy {
    core::pool_id name;
    core::work_kind kind = core::work_kind::batch;
    std::uint32_t priority = 0; ///< Larger goes first; from 0 to 1000.
    bool urgent = false;        ///< Waits behind no other work and may use the reserve.
    bool preemptible = false;   ///< Its tasks may be throttled, checkpointed or stopped for urgent work.
    bool spread = false;        ///< Its tasks are spread over racks.
    std::uint32_t weight = 1;   ///< Share of the room against pools of the same priority.
    double max_share = 1.0;     ///< Of a shard's room that the pool's tasks may hold, 0 to 1.
    core::milliseconds quick_limit{2000};   ///< For quick work: how long a caller waits at most.
    std::uint32_t queue_limit = 10000;      ///< Jobs or requests that may wait on one entry host.
    std::vector<core::service_id> services; ///< For quick work: the services that it may call.

    friend bool operator==(const pool_policy&, const pool_policy&) = default;
};

/// A team: where its work runs and how much it may hold.
struct team_policy {
    core::team_id name;
    core::region_id region;   ///< Fixed when the team is added: it decides where its keys are kept.
    core::resources quota;    ///< Over the whole region; an amount of 0 is no limit.
    std::uint32_t weight = 1; ///< Share of the room against other teams.

    friend bool operator==(const team_policy&, const team_policy&) = default;
};

enum class item_change : std::uint8_t { add, change, withdraw };

/// One line of a release note: a pool or a team that is added, changed or withdrawn.
struct note_item {
    item_change change = item_change::add;
    /// The revision it was written against; 0 for the addition of a name that never was in force.
    core::revision_id replaces;
    std::variant<pool_policy, team_policy> policy; ///< For a withdrawal only the name matters.

    friend bool operator==(const note_item&, const note_item&) = default;
};

/// What an operator hands in: applied whole or not at all, in the order of the log.
struct release_note {
    core::note_id id;
    std::string author;
    std::vector<note_item> items;

    friend bool operator==(const release_note&, const release_note&) = default;
};

} // namespace rattanmount::release
