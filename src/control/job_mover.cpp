#include "control/job_mover.h"

#include <string>
#include <utility>

namespace rattanmount::control {

job_mover::job_mover(job_mover_options options, const host_hooks& hooks,
                     const ledger::shard_state_machine& fold, ledger::stream_session& session)
    : options(std::move(options)), hooks(hooks), fold(fold), session(session) {}

void job_mover::begin() {
    this->active = true;
    for (const auto& [id, entry] : this->fold.jobs()) {
        if (entry.moved_to && !entry.move_confirmed) {
            this->unconfirmed_moves[id] = false;
        }
    }
}

void job_mover::stop() {
    this->active = false;
    this->unconfirmed_moves.clear();
}

void job_mover::send_unconfirmed() {
    for (auto& [id, order_in_flight] : this->unconfirmed_moves) {
        const auto* entry = this->fold.find(id);
        if (order_in_flight || entry == nullptr || !entry->moved_to) {
            continue;
        }
        const auto peer = this->options.owner_of(*entry->moved_to);
        if (!peer) {
            continue;
        }
        order_in_flight = true;
        this->hooks.move({.from = this->options.shard,
                          .to = *entry->moved_to,
                          .peer = *peer,
                          .spec = entry->spec,
                          .accepted_at = entry->accepted_at});
    }
}

void job_mover::move_waiting(job_runner& runner, core::steady_time now) {
    for (const auto& id : runner.movable(now, this->options.move_after)) {
        // Only its home shard moves a job, so that the job can always be found with at most one redirection.
        if (this->options.home_shard_of(id) != this->options.shard) {
            continue;
        }
        const auto target = this->options.shard_with_room(runner.find(id)->spec);
        if (target && *target != this->options.shard) {
            this->move(id, *target, runner);
        }
    }
}

void job_mover::move(const core::job_id& job, core::shard_id target, job_runner& runner) {
    runner.remove_job(job);
    this->hooks.on_change(
        telemetry::event_kind::job_moved,
        {.shard = this->options.shard, .detail = job.text() + " to shard " + std::to_string(target.value())});
    this->session.add(ledger::job_moved{.job = job, .to = target}, {},
                      [this, job](ledger::record_outcome settled) {
                          if (settled == ledger::record_outcome::recorded && this->active) {
                              this->unconfirmed_moves[job] = false;
                          }
                      });
}

void job_mover::on_moved(const core::job_id& job, bool taken) {
    const auto found = this->unconfirmed_moves.find(job);
    if (found == this->unconfirmed_moves.end()) {
        return;
    }
    if (!taken) {
        found->second = false;
        return;
    }
    this->unconfirmed_moves.erase(found);
    this->session.add(ledger::move_confirmed{.job = job}, {}, {});
}

} // namespace rattanmount::control
