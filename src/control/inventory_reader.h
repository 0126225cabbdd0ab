#pragma once

#include "control/job_state.h"
#include "control/runner_parts.h"
#include "control/worker_leases.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/worker_service.h"

#include <set>

namespace rattanmount::control {

/// Compares a worker's inventory, which comes with each lease reply, with the attempts that should run there:
/// ends those that have ended or are missing, adopts those that a former owner started without a record, and
/// stops those that should not run.
///
/// Owned by job_runner; used by the control thread only.
class inventory_reader {
public:
    /// @param parts the state of the runner; must outlive this object.
    explicit inventory_reader(const runner_parts& parts);

    /// Processes an inventory.
    /// @param sent when the call was sent that the reply belongs to.
    /// @param new_lease whether the reply grants a new lease, which invalidates all starts under the old one.
    void apply(leased_worker& worker, const external::lease_reply& reply, core::steady_time sent,
               bool new_lease, core::steady_time now);

private:
    void apply_item(leased_worker& worker, const external::inventory_item& item, core::steady_time now);
    void apply_current(const leased_worker& worker, const external::inventory_item& item,
                       attempt_state& state, core::steady_time now);
    [[nodiscard]] bool is_newer(const core::attempt_id& attempt, const job_state& job) const;
    void end_older_attempt(const core::attempt_id& newer, const job_state& job, core::steady_time now);
    void adopt_unrecorded(const leased_worker& worker, const external::inventory_item& item, job_state& job,
                          core::steady_time now);
    void end_reported(const leased_worker& worker, const external::inventory_item& item,
                      core::steady_time now);
    void handle_stale_attempt(leased_worker& worker, const external::inventory_item& item,
                              core::steady_time now);
    void forget_stale_attempt(leased_worker& worker, const external::inventory_item& item,
                              core::steady_time now);
    void end_missing_stale(leased_worker& worker, const std::set<core::attempt_id>& present,
                           core::steady_time now);
    void end_missing_attempts(const leased_worker& worker, const std::set<core::attempt_id>& present,
                              core::steady_time sent, bool new_lease, core::steady_time now);

    const runner_parts& parts;
};

} // namespace rattanmount::control
