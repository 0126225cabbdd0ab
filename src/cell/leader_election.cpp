#include "cell/leader_election.h"

#include <algorithm>
#include <utility>

namespace rattanmount::cell {

leader_election::leader_election(leader_election_options options) : options(std::move(options)) {}

void leader_election::on_record(const workflow::leader_record& record, core::steady_time now) {
    if (record.epoch < this->last.epoch) {
        return;
    }
    const bool changed = record.epoch != this->last.epoch || record.resigned != this->last.resigned;
    this->last = record;
    this->leader_seen_at = now;
    if (changed) {
        this->claimed_at.reset();
        this->leader_ended_at.reset();
        this->epoch_seen_at = now;
        this->draw_jitter();
    }
    const bool own = record.leader == this->options.self && !record.resigned;
    this->leading = own && !this->resigning && record.epoch > this->fenced_epoch;
}

void leader_election::on_member(const core::host_id& host, const core::incarnation_id& incarnation,
                                core::steady_time now) {
    const bool new_incarnation = host == this->last.host && incarnation != this->last.leader;
    if (new_incarnation && !this->leader_ended_at) {
        this->leader_ended_at = now;
    }
}

void leader_election::on_caught_up(core::steady_time now) {
    if (!this->leader_seen_at) {
        this->leader_seen_at = now - this->options.suspect_after;
        this->draw_jitter();
    } else if (this->caught_up_at && now - *this->caught_up_at > this->options.max_read_gap) {
        this->leader_seen_at = now;
    }
    this->caught_up_at = now;
}

void leader_election::on_fenced(core::steady_time now) {
    this->fenced_epoch = std::max(this->fenced_epoch, this->last.epoch);
    this->leading = false;
    this->leader_seen_at = now;
}

std::optional<workflow::leader_record> leader_election::claim(core::steady_time now,
                                                              claim_standing standing) {
    if (this->leading || this->resigning || !this->eligible || !this->leader_seen_at || !this->caught_up_at) {
        return std::nullopt;
    }
    if (this->claimed_at && now < *this->claimed_at + this->options.claim_retry) {
        return std::nullopt;
    }
    if (!this->may_replace(now, standing) && !this->suspects(now, standing)) {
        return std::nullopt;
    }
    this->claimed_at = now;
    return workflow::leader_record{
        .epoch = this->last.epoch.next(), .host = this->options.host, .leader = this->options.self};
}

bool leader_election::may_replace(core::steady_time now, claim_standing standing) const {
    const bool reads_recently = now - *this->caught_up_at < this->options.suspect_after;
    return standing == claim_standing::outranks_leader && reads_recently && this->epoch_seen_at &&
           now >= *this->epoch_seen_at + this->options.outrank_after + this->jitter;
}

bool leader_election::suspects(core::steady_time now, claim_standing standing) const {
    const auto timeout = this->last.resigned     ? core::milliseconds{0}
                         : this->leader_ended_at ? this->options.successor_delay
                                                 : this->options.suspect_after;
    auto due = *this->leader_seen_at + timeout;
    if (standing == claim_standing::outranked) {
        due = std::max(due, this->leader_ended_at.value_or(due)) + this->options.outranked_delay;
    }
    return now >= due + this->jitter && *this->caught_up_at >= due;
}

std::optional<workflow::leader_record> leader_election::heartbeat(core::steady_time now) {
    if (!this->leading || now < this->appended_at + this->options.heartbeat_interval) {
        return std::nullopt;
    }
    this->appended_at = now;
    return this->last;
}

std::optional<workflow::leader_record> leader_election::resign() {
    this->resigning = true;
    return this->step_down();
}

std::optional<workflow::leader_record> leader_election::step_down() {
    if (!this->leading) {
        return std::nullopt;
    }
    this->leading = false;
    this->fenced_epoch = std::max(this->fenced_epoch, this->last.epoch);
    auto record = this->last;
    record.resigned = true;
    return record;
}

void leader_election::on_appended(core::steady_time now) {
    this->appended_at = now;
}

void leader_election::on_leader_active(core::steady_time now) {
    this->leader_seen_at = now;
}

void leader_election::draw_jitter() {
    const auto jitter_ms = static_cast<double>(this->options.claim_jitter.count()) * this->options.random();
    this->jitter = core::milliseconds{static_cast<std::int64_t>(jitter_ms)};
}

} // namespace rattanmount::cell
