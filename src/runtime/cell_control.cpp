#include "runtime/cell_control.h"

#include "telemetry/logging.h"

#include <algorithm>

namespace rattanmount::runtime {

namespace {

/// Time between two scans for ended jobs whose retention is over.
constexpr core::milliseconds forget_scan_interval{5000};
/// The longest time between two calls of run().
constexpr core::milliseconds tick_interval{100};
/// A host outranks another if its processor share is at least this many times as large, or if its link is and
/// its processor share is no smaller: a leader calls all workers, so either its processors or its link can
/// limit it.
constexpr double outranking_factor = 2;

bool outranks(const workflow::member_record& host, const workflow::member_record& other) {
    const bool larger =
        other.processor_share > 0 && host.processor_share >= other.processor_share * outranking_factor;
    const bool better_link = other.link_mbps > 0 && host.link_mbps >= other.link_mbps * outranking_factor;
    return larger || (better_link && host.processor_share >= other.processor_share);
}

request_outcome to_request_outcome(write_outcome outcome) {
    switch (outcome) {
    case write_outcome::stored:
        return request_outcome::stored;
    case write_outcome::unknown:
        return request_outcome::unknown;
    case write_outcome::rejected:
        return request_outcome::rejected;
    case write_outcome::refused:
    case write_outcome::fenced:
        break;
    }
    return request_outcome::refused;
}

} // namespace

cell_control::cell_control(cell_control_options options)
    : options(std::move(options)), election(this->options.election), dispatcher(this->options.dispatch) {}

void cell_control::on_records(const record_batch& batch, core::steady_time now) {
    for (const auto& [offset, record] : batch.records) {
        this->last_offset = std::max(this->last_offset, offset);
        if (const auto* leader = std::get_if<workflow::leader_record>(&record)) {
            this->election.on_record(*leader, now);
        } else if (std::holds_alternative<workflow::job_progress>(record) ||
                   std::holds_alternative<workflow::part_progress>(record)) {
            this->election.on_leader_active(now);
        }
        if (const auto* member = std::get_if<workflow::member_record>(&record)) {
            this->election.on_member(member->host, member->incarnation, now);
        }
        const auto change = this->book.apply(record, offset, now);
        this->on_change(change, now);
        const auto* accepted = std::get_if<workflow::job_accepted>(&record);
        if (accepted != nullptr && change.what != workflow::state_change::kind::accepted) {
            this->dispatcher.on_stored_job_read(accepted->request.key);
        }
    }
    if (batch.caught_up) {
        this->election.on_caught_up(now);
        if (!this->is_up_to_date(now)) {
            this->log_available_since = now;
        }
        this->caught_up_at = now;
        this->up_to_date_until =
            std::max(this->up_to_date_until, std::min(now + this->options.max_read_age,
                                                      batch.asked_at + this->options.max_answer_age));
        if (this->election.leads()) {
            this->dispatcher.confirm_leadership(batch.asked_at);
            this->dispatcher.on_log_read(batch.asked_at);
        }
        if (!this->announced && !this->leaving) {
            this->announce_membership();
        }
    }
    this->report_leader();
    this->apply_leadership(now);
}

void cell_control::on_stored(const std::vector<workflow::cell_record>& records, core::steady_time now) {
    for (const auto& record : records) {
        if (std::holds_alternative<workflow::job_accepted>(record) ||
            std::holds_alternative<workflow::job_cancelled>(record)) {
            // The offset in the log is not known here, but it is higher than that of all records read so far.
            const auto change = this->book.apply(record, this->last_offset.next(), now);
            if (change.what == workflow::state_change::kind::accepted) {
                this->dispatcher.add_stored_job(*this->book.find(change.job), now);
            } else {
                this->on_change(change, now);
            }
        }
    }
}

void cell_control::on_log_relayed(bool relayed, core::steady_time now) {
    this->relayed_since = relayed ? std::optional{now} : std::nullopt;
    this->election.set_eligible(!relayed);
}

void cell_control::step_down_if_relayed(core::steady_time now) {
    const bool due = this->relayed_since && now >= *this->relayed_since + this->options.step_down_delay;
    if (!due || !this->election.leads()) {
        return;
    }
    telemetry::log_state("stepping down as leader because the log is reachable only through peers",
                         {{"epoch", std::to_string(this->election.epoch().value())}});
    if (const auto record = this->election.step_down()) {
        this->store_leader_record(*record, now);
    }
    this->apply_leadership(now);
}

void cell_control::report_leader() {
    const auto& record = this->election.record();
    const auto leader = record.resigned ? core::incarnation_id{} : record.leader;
    if (leader != this->known_leader) {
        this->known_leader = leader;
        this->options.hooks.leader_changed(leader);
    }
}

void cell_control::on_change(const workflow::state_change& change, core::steady_time now) {
    using kind = workflow::state_change::kind;
    switch (change.what) {
    case kind::accepted:
        this->dispatcher.add_job(*this->book.find(change.job));
        break;
    case kind::cancelled:
        this->dispatcher.cancel_job(change.job, now);
        break;
    case kind::member: {
        std::vector<workflow::member_record> members;
        for (const auto& [host, member] : this->book.members()) {
            members.push_back(member);
        }
        this->options.hooks.members_changed(members);
        break;
    }
    case kind::nothing:
    case kind::progress:
    case kind::forgotten:
    case kind::leader:
        break;
    }
}

void cell_control::on_configuration(workflow::configuration version, core::milliseconds waited) {
    if (this->config && version.version <= this->config->version) {
        return;
    }
    telemetry::log_state("configuration applied", {{"version", std::to_string(version.version)},
                                                   {"routes", std::to_string(version.routes.size())},
                                                   {"waited_ms", std::to_string(waited.count())}});
    if (this->config && this->config->teams == version.teams) {
        version.keys = this->config->keys;
    } else {
        version.keys = std::make_shared<const tenancy::key_ring>(version.teams);
        this->dispatcher.set_teams(version.teams);
    }
    this->config = std::make_shared<const workflow::configuration>(std::move(version));
    this->options.hooks.configuration_changed(this->config);
}

void cell_control::submit(workflow::job_accepted record, std::function<void(request_outcome)> done) {
    if (const auto* known = this->book.find(record.request.key)) {
        const tenancy::caller caller{.team = record.team};
        done(caller.may_access(known->accepted.team) ? request_outcome::stored : request_outcome::conflict);
        return;
    }
    this->options.hooks.store({std::move(record)}, [this, done = std::move(done)](write_outcome outcome) {
        // Posted, so that the control thread applies the stored record in on_stored() before done is called.
        this->options.hooks.post([outcome, done](core::steady_time) { done(to_request_outcome(outcome)); });
    });
}

void cell_control::cancel(const workflow::job_key& key, std::function<void(request_outcome)> done,
                          const tenancy::caller& caller) {
    // The cancellation of an unknown job is stored too, because another host may just have accepted the job.
    const auto* job = this->book.find(key);
    if (job != nullptr && !caller.may_access(job->accepted.team)) {
        done(request_outcome::no_job);
        return;
    }
    if (job != nullptr && workflow::is_over(job->phase())) {
        done(request_outcome::stored);
        return;
    }
    this->options.hooks.store(
        {workflow::job_cancelled{.key = key, .team = job == nullptr ? caller.team : job->accepted.team}},
        [done = std::move(done)](write_outcome outcome) { done(to_request_outcome(outcome)); });
}

std::optional<workflow::job_phase> cell_control::phase_of(const workflow::job_key& key,
                                                          const tenancy::caller& caller) const {
    const auto* job = this->book.find(key);
    if (job == nullptr || !caller.may_access(job->accepted.team)) {
        return std::nullopt;
    }
    return job->phase();
}

std::uint32_t cell_control::pending(const workflow::queue_id& queue) const {
    return this->book.pending(queue);
}

bool cell_control::is_ready(core::steady_time now) const {
    return !this->leaving && this->config && this->is_up_to_date(now);
}

void cell_control::run(core::steady_time now, core::system_time system) {
    if (this->election.leads() && this->dispatcher.fenced()) {
        telemetry::log_state("a worker refused an order because it has seen a later epoch", {});
        this->election.on_fenced(now);
    }
    this->step_down_if_relayed(now);
    this->apply_leadership(now);
    if (const auto claim = this->election.claim(now, this->standing())) {
        telemetry::log_state("claiming leadership", {{"epoch", std::to_string(claim->epoch.value())}});
        this->store_leader_record(*claim, now);
    }
    if (const auto heartbeat = this->election.heartbeat(now)) {
        this->store_leader_record(*heartbeat, now);
    }
    this->dispatcher.run(now, system);
    this->record_roster(now);
    this->record_progress(now);
    this->forget_expired_jobs(now);
}

cell::claim_standing cell_control::standing() const {
    const auto& self = this->options.self;
    const auto& members = this->book.members();
    const auto leader = std::find_if(members.begin(), members.end(), [this](const auto& one) {
        return one.second.incarnation == this->election.record().leader;
    });
    if (leader != members.end() && outranks(self, leader->second)) {
        return cell::claim_standing::outranks_leader;
    }
    const bool outranked = std::any_of(members.begin(), members.end(),
                                       [&](const auto& one) { return outranks(one.second, self); });
    return outranked ? cell::claim_standing::outranked : cell::claim_standing::equal;
}

core::steady_time cell_control::next_due(core::steady_time now) const {
    return std::min(now + tick_interval, this->dispatcher.next_due(now));
}

void cell_control::leave(core::steady_time now) {
    this->leaving = true;
    if (const auto record = this->election.resign()) {
        this->store_leader_record(*record, now);
    }
    if (this->announced) {
        auto member = this->options.self;
        member.left = true;
        this->options.hooks.store({member}, [](write_outcome) {});
    }
    this->apply_leadership(now);
}

void cell_control::apply_leadership(core::steady_time now) {
    if (this->election.leads() == this->dispatcher.leads()) {
        return;
    }
    if (this->election.leads()) {
        this->dispatcher.start_leading(this->election.epoch(), this->book, now,
                                       this->log_available_since + this->options.worker_relist_delay);
    } else {
        telemetry::log_state("leadership lost", {{"epoch", std::to_string(this->election.epoch().value())}});
        this->dispatcher.stop_leading();
    }
    this->options.hooks.leadership_changed(this->election.leads());
}

void cell_control::store_leader_record(const workflow::leader_record& record, core::steady_time now) {
    this->options.hooks.store_as_leader(record.epoch, {record}, [this, record, now](write_outcome outcome) {
        this->options.hooks.post([this, record, outcome, sent_at = now](core::steady_time reported_at) {
            this->on_leader_record_written(record, outcome, sent_at, reported_at);
        });
    });
}

void cell_control::on_leader_record_written(const workflow::leader_record& record, write_outcome outcome,
                                            core::steady_time sent_at, core::steady_time now) {
    if (outcome == write_outcome::fenced && this->election.leads() &&
        record.epoch == this->election.epoch()) {
        telemetry::log_state("leader record refused by the log because its epoch is fenced",
                             {{"epoch", std::to_string(record.epoch.value())}});
        this->election.on_fenced(now);
        this->apply_leadership(now);
    } else if (outcome == write_outcome::stored && this->election.leads() &&
               record.epoch == this->election.epoch()) {
        this->dispatcher.confirm_leadership(sent_at);
    }
}

void cell_control::record_roster(core::steady_time now) {
    const auto roster = this->dispatcher.take_roster(now);
    if (!roster) {
        return;
    }
    const auto epoch = this->election.epoch();
    this->options.hooks.store_as_leader(epoch, {*roster}, [this, epoch, roster](write_outcome outcome) {
        this->options.hooks.post([this, epoch, roster, outcome](core::steady_time) {
            if (outcome == write_outcome::stored) {
                this->dispatcher.roster_recorded(epoch, *roster);
            }
        });
    });
}

void cell_control::record_progress(core::steady_time now) {
    auto batch = this->dispatcher.take_progress(now);
    if (!batch) {
        return;
    }
    this->add_teams(batch->records);
    if (batch->records.empty()) {
        this->dispatcher.progress_recorded(*batch);
        return;
    }
    this->election.on_appended(now);
    this->options.hooks.store_as_leader(
        batch->epoch, batch->records, [this, batch, now](write_outcome outcome) {
            this->options.hooks.post([this, batch, outcome, sent_at = now](core::steady_time reported_at) {
                if (outcome == write_outcome::stored) {
                    this->dispatcher.confirm_leadership(sent_at);
                    this->dispatcher.progress_recorded(*batch);
                } else if (outcome == write_outcome::rejected) {
                    telemetry::log_state("the log has rejected progress of jobs",
                                         {{"records", std::to_string(batch->records.size())}},
                                         telemetry::log_level::error);
                    this->dispatcher.progress_rejected(*batch, reported_at);
                } else if (batch->epoch == this->election.epoch()) {
                    this->election.on_fenced(reported_at);
                    this->apply_leadership(reported_at);
                }
            });
        });
}

void cell_control::add_teams(std::vector<workflow::cell_record>& records) const {
    for (auto& record : records) {
        auto* progress = std::get_if<workflow::job_progress>(&record);
        if (progress != nullptr && workflow::is_over(progress->phase)) {
            const auto* job = this->book.find(progress->key);
            progress->team = job == nullptr ? core::team_id{} : job->accepted.team;
        }
    }
}

void cell_control::forget_expired_jobs(core::steady_time now) {
    if (!this->election.leads() || now < this->last_forget_at + forget_scan_interval) {
        return;
    }
    this->last_forget_at = now;
    std::vector<workflow::cell_record> records;
    for (const auto& key : this->book.expired(now, this->options.ended_job_retention)) {
        workflow::job_forgotten forgotten{.key = key};
        if (const auto* job = this->book.find(key)) {
            forgotten.parts = job->recorded_parts();
        }
        records.emplace_back(std::move(forgotten));
    }
    if (!records.empty()) {
        this->options.hooks.store_as_leader(this->election.epoch(), records, [](write_outcome) {});
    }
}

void cell_control::announce_membership() {
    this->announced = true;
    this->options.hooks.store({this->options.self}, [this](write_outcome outcome) {
        if (outcome != write_outcome::stored) {
            this->options.hooks.post([this](core::steady_time) { this->announced = false; });
        }
    });
}

} // namespace rattanmount::runtime
