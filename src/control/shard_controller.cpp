#include "control/shard_controller.h"

#include "control/job_answers.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

shard_controller::shard_controller(shard_controller_options options, const host_hooks& hooks)
    : options(std::move(options)), hooks(hooks), fold(this->options.shard), session([this] {
          auto session_options = this->options.session;
          session_options.apply = [this](core::log_offset offset, const ledger::record_batch& batch) {
              return this->apply(offset, batch);
          };
          session_options.reset = [this] { this->fold.reset(); };
          session_options.state = [this] { return this->fold.state(); };
          return session_options;
      }()),
      driver(this->session, hooks, this->options.snapshot_interval),
      mover({.shard = this->options.shard,
             .move_after = this->options.move_after,
             .shard_with_room = this->options.shard_with_room,
             .home_shard_of = this->options.home_shard_of,
             .owner_of = this->options.owner_of},
            hooks, this->fold, this->session),
      shard_slots(this->options.slots) {}

shard_controller::~shard_controller() {
    this->drop_ownership();
}

bool shard_controller::apply(core::log_offset offset, const ledger::record_batch& batch) {
    return ledger::shard_state_machine::is_applied(this->fold.apply(offset, batch));
}

void shard_controller::tick(core::steady_time now) {
    if (this->hold_pending) {
        this->shard_slots.hold_until(now + this->options.longest_quick_limit);
        this->hold_pending = false;
    }
    this->check_owner();
    if (this->current_phase == shard_phase::reading && this->session.caught_up() &&
        this->fold.has_base_state() && this->session.log_available() && now >= this->next_claim) {
        const auto& owner = this->fold.owner();
        if (!owner || owner->incarnation == this->options.incarnation ||
            this->options.can_take_over(*owner)) {
            this->claim(now);
        }
    }
    if (this->active_runner) {
        this->active_runner->tick(now);
        if (this->current_phase == shard_phase::taking_over && this->active_runner->takeover_complete()) {
            this->current_phase = shard_phase::serving;
            this->report_event(telemetry::event_kind::shard_serving,
                               "epoch " + std::to_string(this->epoch().value()));
        }
        this->mover.send_unconfirmed();
        if (this->current_phase == shard_phase::serving && this->session.log_available()) {
            this->mover.move_waiting(*this->active_runner, now);
        }
        this->run_maintenance(now);
    }
    if (this->current_phase == shard_phase::releasing) {
        this->finish_release(now);
    }
    this->shard_slots.expire(now);
    this->driver.send_requests(now);
}

void shard_controller::claim(core::steady_time now) {
    constexpr core::milliseconds claim_interval{500};
    this->next_claim = now + claim_interval;
    this->current_phase = shard_phase::claiming;
    // An owner records the release of a shard only when none of its slots is in use any more.
    this->released_by_former_owner = !this->fold.owner();
    this->report_event(telemetry::event_kind::shard_claimed,
                       "after epoch " + std::to_string(this->epoch().value()));
    this->session.add(ledger::shard_claimed{.previous = this->fold.epoch(), .host = this->options.host},
                      {.cancellable = true, .own_batch = true}, [this, now](ledger::record_outcome settled) {
                          if (settled == ledger::record_outcome::recorded) {
                              this->take_ownership(now);
                              return;
                          }
                          this->current_phase = shard_phase::reading;
                      });
    this->driver.send_requests(now);
}

void shard_controller::take_ownership(core::steady_time now) {
    const bool first_owner = this->fold.epoch() == core::epoch_id{1};
    this->session.set_epoch(this->fold.epoch());
    this->current_phase = shard_phase::taking_over;
    this->release_queued = false;
    this->release_recorded = false;
    if (!first_owner && !this->released_by_former_owner) {
        // `now` is the time of the claim; the former owner may have granted slots until the claim took
        // effect, so the hold starts only with the next tick.
        this->shard_slots.hold_until(core::steady_time::max());
        this->hold_pending = true;
    }
    this->active_runner =
        std::make_unique<job_runner>(this->options.runner, this->hooks, this->fold, this->session);
    this->active_runner->begin(now);
    if (this->fleet_known) {
        this->active_runner->set_workers(this->workers, now);
    }
    this->driver.plan_snapshots(now);
    this->end_orphaned_quick_requests();
    this->mover.begin();
}

void shard_controller::end_orphaned_quick_requests() {
    for (const auto& [id, entry] : this->fold.jobs()) {
        if (entry.spec.kind != core::work_kind::quick || entry.ended) {
            continue;
        }
        // The former owner recorded the intent and may have sent the request.
        this->session.add(ledger::job_ended{.job = id,
                                            .result = core::outcome::unknown,
                                            .reason = "its sender was lost before the outcome was recorded",
                                            .at = this->hooks.wall_time()},
                          {}, {});
    }
}

void shard_controller::check_owner() {
    const auto& owner = this->fold.owner();
    const bool mine = owner && owner->incarnation == this->options.incarnation;
    if (this->active_runner && !mine && !this->release_recorded) {
        this->drop_ownership();
    }
}

void shard_controller::on_reported_owner(core::epoch_id epoch) {
    if (this->active_runner && epoch > this->fold.epoch()) {
        this->drop_ownership();
        this->session.request_read();
    }
}

void shard_controller::drop_ownership() {
    for (auto& [id, pending] : std::exchange(this->pending_accepts, {})) {
        for (const auto& respond : pending.responders) {
            respond(unsettled_answer("the shard went to another entry host before the job was recorded"));
        }
    }
    if (!this->active_runner) {
        return;
    }
    this->report_event(telemetry::event_kind::shard_lost, "epoch " + std::to_string(this->epoch().value()));
    this->active_runner.reset();
    this->mover.stop();
    this->current_phase = shard_phase::reading;
}

bool shard_controller::owned() const {
    return this->active_runner != nullptr;
}

void shard_controller::set_fleet(const std::vector<external::listed_worker>& listed,
                                 const std::vector<routing::executor_info>& executors,
                                 core::steady_time now) {
    this->workers = listed;
    this->fleet_known = true;
    this->shard_slots.set_executors(executors);
    if (this->active_runner) {
        this->active_runner->set_workers(listed, now);
    }
}

void shard_controller::on_append(core::sequence_number sequence, const external::append_reply& reply,
                                 core::steady_time now) {
    this->session.on_append(sequence, reply, now);
    this->check_owner();
}

void shard_controller::on_read(core::log_offset from, const external::read_reply& reply,
                               core::steady_time now) {
    this->session.on_read(from, reply, now);
    this->check_owner();
}

void shard_controller::on_lease(const core::worker_id& worker, const external::lease_reply& reply,
                                core::steady_time sent, core::steady_time now) {
    if (this->active_runner) {
        this->active_runner->on_lease(worker, reply, sent, now);
    }
}

void shard_controller::on_start(const core::attempt_id& attempt, const external::start_reply& reply,
                                core::steady_time now) {
    if (this->active_runner) {
        this->active_runner->on_start(attempt, reply, now);
    }
}

cell::owner_answer shard_controller::answer_for(const ledger::job_entry& entry, core::steady_time now) const {
    auto answer = recorded_answer(entry);
    if (!entry.moved_to && !entry.ended && this->active_runner && answer.answer.status->tasks_waiting > 0) {
        const auto reasons = this->active_runner->explain(entry.spec.id, now);
        answer.answer.reason = reasons.empty() ? "" : reasons.front();
    }
    return answer;
}

std::optional<cell::owner_answer> shard_controller::refusal_for(const core::job_spec& spec) const {
    if (const auto reason = this->options.never_fits(spec)) {
        return refused_answer(*reason);
    }
    std::size_t open = this->pending_accepts.size();
    for (const auto& [id, entry] : this->fold.jobs()) {
        open += entry.ended || entry.moved_to ? 0 : 1;
    }
    if (open >= this->options.queue_limit) {
        return refused_answer("the shard has " + std::to_string(open) + " open jobs, which is its limit");
    }
    if (!this->session.log_available()) {
        return refused_answer("the platform's log is not available, so the job cannot be recorded");
    }
    return std::nullopt;
}

void shard_controller::submit(const core::job_spec& spec, core::system_time accepted_at,
                              core::steady_time now, owner_responder respond) {
    if (!this->active_runner || this->current_phase == shard_phase::releasing) {
        respond({});
        return;
    }
    const auto* entry = this->fold.find(spec.id);
    const auto pending = this->pending_accepts.find(spec.id);
    if (entry == nullptr && pending == this->pending_accepts.end()) {
        if (auto refusal = this->refusal_for(spec)) {
            respond(std::move(*refusal));
            return;
        }
        this->accept(spec, accepted_at, now, std::move(respond));
        return;
    }
    const auto& known = entry != nullptr ? entry->spec : pending->second.spec;
    if (known.fingerprint() != spec.fingerprint()) {
        respond(key_conflict_answer(known));
        return;
    }
    if (entry != nullptr) {
        respond(this->answer_for(*entry, now));
        return;
    }
    pending->second.responders.push_back(std::move(respond));
}

void shard_controller::accept(const core::job_spec& spec, core::system_time accepted_at,
                              core::steady_time now, owner_responder respond) {
    auto& pending = this->pending_accepts[spec.id];
    pending.spec = spec;
    pending.responders.push_back(std::move(respond));
    this->session.add(
        ledger::job_accepted{.spec = spec, .at = accepted_at}, {.cancellable = true},
        [this, id = spec.id, now](ledger::record_outcome settled) {
            const auto found = this->pending_accepts.find(id);
            if (found == this->pending_accepts.end()) {
                return;
            }
            const auto waiting = std::move(found->second);
            this->pending_accepts.erase(found);
            const auto* entry = this->fold.find(id);
            cell::owner_answer answer = unsettled_answer("the shard went to another entry host");
            if (settled == ledger::record_outcome::absent) {
                answer = refused_answer("the platform's log did not store the record");
            }
            if (settled == ledger::record_outcome::recorded && entry != nullptr && this->active_runner) {
                this->active_runner->on_accepted(entry->spec, now);
                answer = this->answer_for(*entry, now);
            }
            for (const auto& waiter : waiting.responders) {
                waiter(answer);
            }
        });
    this->driver.send_requests(now);
}

void shard_controller::status(const core::job_id& job, core::steady_time now,
                              const owner_responder& respond) const {
    if (!this->active_runner) {
        respond({});
        return;
    }
    const auto* entry = this->fold.find(job);
    respond(entry == nullptr ? refused_answer("no job has that key") : this->answer_for(*entry, now));
}

void shard_controller::cancel(const core::job_id& job, core::steady_time now,
                              const owner_responder& respond) {
    if (!this->active_runner) {
        respond({});
        return;
    }
    const auto* entry = this->fold.find(job);
    if (entry == nullptr || entry->ended || entry->moved_to || this->active_runner->find(job) == nullptr) {
        this->status(job, now, respond);
        return;
    }
    this->active_runner->cancel(job, now, [this, job, now, respond](ledger::record_outcome settled) {
        const auto* found = this->fold.find(job);
        const bool recorded = settled == ledger::record_outcome::recorded && found != nullptr;
        respond(recorded ? this->answer_for(*found, now)
                         : unsettled_answer("the shard went to another entry host"));
    });
}

void shard_controller::explain(const core::job_id& job, core::steady_time now,
                               const owner_responder& respond) const {
    if (!this->active_runner) {
        respond({});
        return;
    }
    const auto* entry = this->fold.find(job);
    if (entry == nullptr) {
        respond(refused_answer("no job has that key"));
        return;
    }
    auto answer = this->answer_for(*entry, now);
    answer.explanation = entry->ended ? std::vector<std::string>{"ended: " + entry->reason}
                                      : this->active_runner->explain(job, now);
    respond(std::move(answer));
}

void shard_controller::record_quick_intent(const core::job_spec& spec, const std::string& place,
                                           core::steady_time now, const owner_responder& respond) {
    if (!this->active_runner || this->current_phase == shard_phase::releasing) {
        respond({});
        return;
    }
    const auto* entry = this->fold.find(spec.id);
    if (entry != nullptr || this->pending_accepts.contains(spec.id)) {
        const auto& known = entry != nullptr ? entry->spec : this->pending_accepts[spec.id].spec;
        if (known.fingerprint() != spec.fingerprint()) {
            respond(key_conflict_answer(known));
        } else if (entry != nullptr && entry->ended) {
            respond(this->answer_for(*entry, now));
        } else {
            respond(unsettled_answer("another call with this key is being served; ask again by its key"));
        }
        return;
    }
    if (!this->session.log_available()) {
        respond(refused_answer("the platform's log is not available, so the request cannot be recorded"));
        return;
    }
    this->pending_accepts[spec.id].spec = spec;
    const auto at = this->hooks.wall_time();
    this->session.add(ledger::job_accepted{.spec = spec, .at = at}, {.cancellable = true}, {});
    this->session.add(
        ledger::task_started{.attempt = {.job = spec.id, .task = 0, .attempt = 1}, .place = place, .at = at},
        {.cancellable = true}, [this, id = spec.id, respond](ledger::record_outcome settled) {
            this->pending_accepts.erase(id);
            if (settled == ledger::record_outcome::absent) {
                respond(refused_answer("the platform's log did not store the record"));
                return;
            }
            const auto* recorded = this->fold.find(id);
            const bool mine =
                settled == ledger::record_outcome::recorded && recorded != nullptr && !recorded->ended;
            respond(mine ? make_answer(core::answer_state::accepted, core::outcome::unknown, "")
                         : unsettled_answer("the shard went to another entry host"));
        });
    this->driver.send_requests(now);
}

void shard_controller::record_quick_outcome(const core::job_id& job, core::outcome result,
                                            const std::string& reason, std::function<void()> recorded) {
    this->session.add(
        ledger::job_ended{.job = job, .result = result, .reason = reason, .at = this->hooks.wall_time()}, {},
        [recorded = std::move(recorded)](ledger::record_outcome) { recorded(); });
}

void shard_controller::run_maintenance(core::steady_time now) {
    constexpr core::milliseconds maintenance_interval{1000};
    if (now - this->last_maintenance < maintenance_interval || !this->session.log_available()) {
        return;
    }
    this->last_maintenance = now;
    const auto oldest = this->hooks.wall_time() - this->options.keep_outcomes;
    constexpr std::size_t max_per_round = 200;
    std::size_t forgotten = 0;
    for (const auto& [id, entry] : this->fold.jobs()) {
        if (entry.ended && entry.ended_at < oldest && forgotten < max_per_round) {
            ++forgotten;
            this->session.add(ledger::job_forgotten{.job = id}, {.cancellable = true}, {});
        }
    }
    if (this->driver.snapshot_due(now)) {
        this->driver.take_snapshot(now);
    }
}

void shard_controller::release(core::steady_time now) {
    if (this->current_phase == shard_phase::serving || this->current_phase == shard_phase::taking_over) {
        this->current_phase = shard_phase::releasing;
        this->active_runner->stop_placing();
        this->finish_release(now);
        return;
    }
    if (!this->active_runner) {
        this->current_phase = shard_phase::released;
    }
}

void shard_controller::finish_release(core::steady_time now) {
    if (this->release_recorded) {
        this->active_runner->release_leases(now);
        this->report_event(telemetry::event_kind::shard_released,
                           "epoch " + std::to_string(this->epoch().value()));
        this->active_runner.reset();
        this->mover.stop();
        this->current_phase = shard_phase::released;
        return;
    }
    if (this->release_queued || !this->active_runner || !this->active_runner->is_quiescent() ||
        !this->pending_accepts.empty() || this->shard_slots.in_use() > 0) {
        return;
    }
    this->release_queued = true;
    this->session.add(ledger::shard_released{}, {.own_batch = true}, [this](ledger::record_outcome settled) {
        this->release_recorded = settled == ledger::record_outcome::recorded;
        this->release_queued = this->release_recorded;
    });
}

cell::shard_view shard_controller::view(core::steady_time now) const {
    cell::shard_view view{.shard = this->options.shard,
                          .epoch = this->fold.epoch(),
                          .serving = this->current_phase == shard_phase::serving};
    if (this->active_runner) {
        view.waiting_tasks = this->active_runner->scheduler().waiting_tasks();
        view.free = this->active_runner->scheduler().free();
        view.largest_free = this->active_runner->scheduler().largest_free();
    }
    for (const auto& service : this->shard_slots.services()) {
        view.services.push_back(
            {.service = service, .free_slots = this->shard_slots.free_slots(service, now)});
    }
    return view;
}

void shard_controller::report_event(telemetry::event_kind kind, const std::string& detail) const {
    this->hooks.on_change(kind, {.shard = this->options.shard, .detail = detail});
}

} // namespace rattanmount::control
