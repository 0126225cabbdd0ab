#pragma once

#include "cell/worker_lease.h"
#include "control/host_hooks.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/fleet_service.h"
#include "external/worker_service.h"

#include <map>
#include <set>
#include <vector>

namespace rattanmount::control {

/// A worker of a shard and this host's lease on it.
struct leased_worker {
    external::listed_worker info;
    cell::worker_lease lease;
    bool listed = true; ///< The latest fleet list contains it.
    /// The lease was granted here since the claim, or all of the worker's tasks have ended.
    bool lease_acquired = false;
    bool marked_ended = false;
    std::set<core::attempt_id> forget; ///< Ended attempts that the worker may forget.
    /// Attempts that run there although they are not the current attempt of their task.
    std::set<core::attempt_id> stale_attempts;
};

/// The workers of a shard, the leases on them, and the calls to them that need a lease.
///
/// Owned by job_runner; used by the control thread only.
class worker_leases {
public:
    /// @param shard the shard that the workers belong to.
    /// @param options the terms of all leases.
    /// @param hooks make the calls; must outlive this object.
    worker_leases(core::shard_id shard, const cell::lease_options& options, const host_hooks& hooks);
    ~worker_leases() = default;
    worker_leases(const worker_leases&) = delete;
    worker_leases& operator=(const worker_leases&) = delete;

    /// Adds the workers of the fleet list. A worker that is not listed any more stays, marked as such.
    void set_listed(const std::vector<external::listed_worker>& listed);

    /// @return the state of a worker that the fleet list does not contain, without a lease.
    [[nodiscard]] leased_worker make_unlisted(const core::worker_id& name) const;

    /// Requests or renews the worker's lease if that is due.
    void renew(leased_worker& worker, core::steady_time now);

    /// Releases all leases, so that the next owner need not wait until they expire.
    void release_all(core::steady_time now);

    /// Sends a stop, checkpoint or throttle under the worker's lease.
    void act(const leased_worker& worker, const core::attempt_id& attempt, external::attempt_action action);

    /// Sends a stop under the worker's lease, and requests the inventory that shows its effect. Does nothing
    /// if this host holds no lease on the worker.
    void stop(const core::worker_id& name, const core::attempt_id& attempt, core::steady_time now);

    /// @return the worker, or nullptr if it is unknown.
    [[nodiscard]] leased_worker* find(const core::worker_id& name);
    /// @return the worker, or nullptr if it is unknown or this host holds no lease on it.
    [[nodiscard]] leased_worker* find_held(const core::worker_id& name, core::steady_time now);
    /// @return whether every worker's lease has been acquired since the claim.
    [[nodiscard]] bool all_acquired() const;

    /// @return all workers by name.
    [[nodiscard]] std::map<core::worker_id, leased_worker>& all() { return this->workers; }

private:
    core::shard_id shard;
    cell::lease_options options;
    const host_hooks& hooks;
    std::map<core::worker_id, leased_worker> workers;
};

} // namespace rattanmount::control
