#pragma once

#include "control/host_hooks.h"
#include "control/job_runner.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/time.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace rattanmount::control {

struct job_mover_options {
    core::shard_id shard;
    core::milliseconds move_after{5000}; ///< How long a job must have waited before it is moved.
    /// Returns the shard, possibly this one, with the most free room for the job among those whose owner
    /// reports room.
    std::function<std::optional<core::shard_id>(const core::job_spec&)> shard_with_room;
    /// Returns the shard that a job's key hashes to.
    std::function<core::shard_id(const core::job_id&)> home_shard_of;
    /// Returns the inner protocol address of a shard's owner, if it is known.
    std::function<std::optional<core::endpoint>(core::shard_id)> owner_of;
};

/// Moves waiting jobs of a shard to shards with free room: records the move, orders the other owner to take
/// the job, repeats the order until that owner has confirmed it, and records the confirmation.
///
/// Owned by shard_controller; used by the control thread only.
class job_mover {
public:
    /// @param hooks execute its orders; must outlive this object.
    /// @param fold the shard's state machine, which holds its recorded state; must outlive this object.
    /// @param session appends the records; must outlive this object, and must not call back after that.
    job_mover(job_mover_options options, const host_hooks& hooks, const ledger::shard_state_machine& fold,
              ledger::stream_session& session);
    ~job_mover() = default;
    job_mover(const job_mover&) = delete;
    job_mover& operator=(const job_mover&) = delete;

    /// Adopts the recorded moves that are not confirmed. Called when this host has become the owner.
    void begin();

    /// Forgets all moves. Called when this host has ceased to be the owner.
    void stop();

    /// Orders the moves that are recorded and not confirmed, as far as the other owners are known.
    void send_unconfirmed();

    /// Moves the jobs that have waited long enough and for which another shard has room.
    /// @param runner runs the shard's jobs; a moved job is removed from it.
    void move_waiting(job_runner& runner, core::steady_time now);

    /// Processes the answer of the owner that a job was moved to.
    /// @param taken whether that owner has taken the job.
    void on_moved(const core::job_id& job, bool taken);

private:
    void move(const core::job_id& job, core::shard_id target, job_runner& runner);

    job_mover_options options;
    const host_hooks& hooks;
    const ledger::shard_state_machine& fold;
    ledger::stream_session& session;
    bool active = false; ///< This host owns the shard.
    /// Moved jobs that are not confirmed yet; true while a move order is in flight.
    std::unordered_map<core::job_id, bool> unconfirmed_moves;
};

} // namespace rattanmount::control
