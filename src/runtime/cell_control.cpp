#include "runtime/cell_control.h"

#include "telemetry/logging.h"

#include <algorithm>

namespace rattanmount::runtime {

namespace {

/// How often jobs that ended long ago are looked for.
constexpr core::milliseconds forget_interval{5000};
/// How often a host that leads or follows looks for what is due.
constexpr core::milliseconds tick_interval{100};
/// A host outranks another that may use so many times less of a processor.
constexpr double outranking_factor = 2;

request_fate fate_of(write_fate fate) {
    switch (fate) {
    case write_fate::stored:
        return request_fate::stored;
    case write_fate::unknown:
        return request_fate::unsettled;
    case write_fate::refused:
    case write_fate::fenced:
        break;
    }
    return request_fate::refused;
}

} // namespace

cell_control::cell_control(cell_control_options options)
    : options(std::move(options)), election(this->options.election), dispatcher(this->options.dispatch) {}

void cell_control::on_records(const record_group& group, core::steady_time now) {
    for (const auto& [offset, record] : group.records) {
        this->last_offset = std::max(this->last_offset, offset);
        if (const auto* lead = std::get_if<workflow::leader_record>(&record)) {
            this->election.on_record(*lead, now);
        } else if (std::holds_alternative<workflow::job_progress>(record)) {
            this->election.on_leader_active(now);
        }
        if (const auto* member = std::get_if<workflow::member_record>(&record)) {
            this->election.on_member(member->host, member->incarnation);
        }
        this->on_change(this->book.apply(record, offset, now), now);
    }
    if (group.caught_up) {
        this->election.on_caught_up(now);
        if (!this->knows_jobs(now)) {
            this->log_returned_at = now;
        }
        this->caught_up_at = now;
        if (this->election.leads()) {
            this->dispatcher.confirmed(now);
        }
        if (!this->announced && !this->leaving) {
            this->announce();
        }
    }
    this->tell_leader();
    this->follow_lead(now);
}

void cell_control::on_stored(const std::vector<workflow::cell_record>& records, core::steady_time now) {
    for (const auto& record : records) {
        if (std::holds_alternative<workflow::job_accepted>(record) ||
            std::holds_alternative<workflow::job_cancelled>(record)) {
            // Their place in the log is not told; it is after all that was read.
            this->on_change(this->book.apply(record, this->last_offset.next(), now), now);
        }
    }
}

void cell_control::on_log_relayed(bool relayed, core::steady_time now) {
    this->relayed_since = relayed ? std::optional{now} : std::nullopt;
    this->election.set_eligible(!relayed);
}

void cell_control::hand_over_if_relayed(core::steady_time now) {
    const bool due = this->relayed_since && now >= *this->relayed_since + this->options.hand_over_after;
    if (!due || !this->election.leads()) {
        return;
    }
    telemetry::log_state("hand the lead on, since the log turns this host away",
                         {{"epoch", std::to_string(this->election.epoch().value())}});
    if (const auto record = this->election.step_down()) {
        this->store_lead(*record);
    }
    this->follow_lead(now);
}

void cell_control::tell_leader() {
    const auto& record = this->election.record();
    const auto leader = record.resigned ? core::incarnation_id{} : record.leader;
    if (leader != this->told_leader) {
        this->told_leader = leader;
        this->options.hooks.leader_known(leader);
    }
}

void cell_control::on_change(const workflow::book_change& change, core::steady_time now) {
    using kind = workflow::book_change::kind;
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

void cell_control::on_configuration(workflow::configuration version) {
    if (this->config && version.version <= this->config->version) {
        return;
    }
    telemetry::log_state("configuration in force", {{"version", std::to_string(version.version)},
                                                    {"routes", std::to_string(version.routes.size())}});
    this->config = std::make_shared<const workflow::configuration>(std::move(version));
    this->options.hooks.configured(this->config);
}

void cell_control::submit(workflow::job_request request, const workflow::queue_policy& policy,
                          core::system_time accepted_at, std::function<void(request_fate)> done) {
    if (this->book.find(request.key) != nullptr) {
        done(request_fate::stored);
        return;
    }
    workflow::job_accepted record{
        .request = std::move(request), .policy = policy, .accepted_at = accepted_at};
    this->options.hooks.store({std::move(record)}, [this, done = std::move(done)](write_fate fate) {
        // Told in its turn by the control thread, which has then heard that the record is stored.
        this->options.hooks.post([fate, done](core::steady_time) { done(fate_of(fate)); });
    });
}

void cell_control::cancel(const workflow::job_key& key, std::function<void(request_fate)> done) {
    // A job that is not known here may have been accepted by another host a moment ago, so its cancellation
    // is stored as well.
    const auto* job = this->book.find(key);
    if (job != nullptr && workflow::over(job->phase())) {
        done(request_fate::stored);
        return;
    }
    this->options.hooks.store({workflow::job_cancelled{key}},
                              [done = std::move(done)](write_fate fate) { done(fate_of(fate)); });
}

std::optional<workflow::job_phase> cell_control::phase_of(const workflow::job_key& key) const {
    if (const auto* job = this->book.find(key)) {
        return job->phase();
    }
    return std::nullopt;
}

std::uint32_t cell_control::pending(const workflow::queue_id& queue) const {
    return this->book.pending(queue);
}

bool cell_control::ready(core::steady_time now) const {
    return !this->leaving && this->config && this->knows_jobs(now);
}

void cell_control::run(core::steady_time now, core::system_time system) {
    if (this->election.leads() && this->dispatcher.fenced()) {
        telemetry::log_state("a worker has seen a later epoch", {});
        this->election.on_fenced(now);
    }
    this->hand_over_if_relayed(now);
    this->follow_lead(now);
    if (const auto claim = this->election.claim(now, this->standing())) {
        telemetry::log_state("claim the lead", {{"epoch", std::to_string(claim->epoch.value())}});
        this->store_lead(*claim);
    }
    if (const auto heartbeat = this->election.heartbeat(now)) {
        this->store_lead(*heartbeat);
    }
    this->dispatcher.run(now, system);
    this->record_roster(now);
    this->record_progress(now);
    this->forget_old_jobs(now);
}

cell::claim_standing cell_control::standing() const {
    const auto own = this->options.self.processor_share;
    double best = 0;
    double leading = 0;
    for (const auto& [host, member] : this->book.members()) {
        best = std::max(best, member.processor_share);
        if (member.incarnation == this->election.record().leader) {
            leading = member.processor_share;
        }
    }
    if (leading > 0 && own >= leading * outranking_factor) {
        return cell::claim_standing::outranks_leader;
    }
    return own > 0 && best >= own * outranking_factor ? cell::claim_standing::outranked
                                                      : cell::claim_standing::equal;
}

core::steady_time cell_control::next_due(core::steady_time now) const {
    return std::min(now + tick_interval, this->dispatcher.next_due(now));
}

void cell_control::leave(core::steady_time now) {
    this->leaving = true;
    if (const auto record = this->election.resign()) {
        this->store_lead(*record);
    }
    if (this->announced) {
        auto member = this->options.self;
        member.left = true;
        this->options.hooks.store({member}, [](write_fate) {});
    }
    this->follow_lead(now);
}

void cell_control::follow_lead(core::steady_time now) {
    if (this->election.leads() == this->dispatcher.leads()) {
        return;
    }
    if (this->election.leads()) {
        this->dispatcher.lead(this->election.epoch(), this->book, now,
                              this->log_returned_at + this->options.relist_time);
    } else {
        telemetry::log_state("lead lost", {{"epoch", std::to_string(this->election.epoch().value())}});
        this->dispatcher.yield();
    }
    this->options.hooks.lead_changed(this->election.leads());
}

void cell_control::store_lead(const workflow::leader_record& record) {
    this->options.hooks.store_as_leader(record.epoch, {record}, [this, record](write_fate fate) {
        this->options.hooks.post(
            [this, record, fate](core::steady_time now) { this->lead_written(record, fate, now); });
    });
}

void cell_control::lead_written(const workflow::leader_record& record, write_fate fate,
                                core::steady_time now) {
    if (fate == write_fate::fenced && this->election.leads() && record.epoch == this->election.epoch()) {
        telemetry::log_state("the log refuses this epoch", {{"epoch", std::to_string(record.epoch.value())}});
        this->election.on_fenced(now);
        this->follow_lead(now);
    } else if (fate == write_fate::stored && this->election.leads() &&
               record.epoch == this->election.epoch()) {
        this->dispatcher.confirmed(now);
    }
}

void cell_control::record_roster(core::steady_time now) {
    const auto roster = this->dispatcher.roster(now);
    if (!roster) {
        return;
    }
    const auto epoch = this->election.epoch();
    this->options.hooks.store_as_leader(epoch, {*roster}, [this, epoch, roster](write_fate fate) {
        this->options.hooks.post([this, epoch, roster, fate](core::steady_time) {
            if (fate == write_fate::stored) {
                this->dispatcher.roster_recorded(epoch, *roster);
            }
        });
    });
}

void cell_control::record_progress(core::steady_time now) {
    const auto batch = this->dispatcher.progress(now);
    if (!batch) {
        return;
    }
    std::vector<workflow::cell_record> records{batch->jobs.begin(), batch->jobs.end()};
    for (const auto& key : batch->closed) {
        records.emplace_back(workflow::job_closed{key});
    }
    if (records.empty()) {
        this->dispatcher.recorded(*batch);
        return;
    }
    this->election.on_appended(now);
    this->options.hooks.store_as_leader(batch->epoch, records, [this, batch](write_fate fate) {
        this->options.hooks.post([this, batch, fate](core::steady_time then) {
            if (fate == write_fate::stored) {
                this->dispatcher.confirmed(then);
                this->dispatcher.recorded(*batch);
            } else if (batch->epoch == this->election.epoch()) {
                this->election.on_fenced(then);
                this->follow_lead(then);
            }
        });
    });
}

void cell_control::forget_old_jobs(core::steady_time now) {
    if (!this->election.leads() || now < this->forgot_at + forget_interval) {
        return;
    }
    this->forgot_at = now;
    std::vector<workflow::cell_record> records;
    for (const auto& key : this->book.expired(now, this->options.keep_ended)) {
        records.emplace_back(workflow::job_forgotten{key});
    }
    if (!records.empty()) {
        this->options.hooks.store_as_leader(this->election.epoch(), records, [](write_fate) {});
    }
}

void cell_control::announce() {
    this->announced = true;
    this->options.hooks.store({this->options.self}, [this](write_fate fate) {
        if (fate != write_fate::stored) {
            this->options.hooks.post([this](core::steady_time) { this->announced = false; });
        }
    });
}

} // namespace rattanmount::runtime
