#include "cell/worker_lease.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::cell {

worker_lease::worker_lease(lease_options options) : options(std::move(options)) {}

bool worker_lease::request_due(core::steady_time now) const {
    if (this->in_flight && now - *this->in_flight < 2 * this->options.timeout) {
        return false;
    }
    return now >= this->next_due;
}

external::lease_request worker_lease::next_request(core::steady_time now,
                                                   std::vector<core::attempt_id> forget) {
    assert(this->request_due(now));
    this->in_flight = now;
    this->last_sent = now;
    this->next_due = now + this->options.renew_interval;
    this->new_lease_in_flight = this->needs_new_lease;
    const bool requests_new_lease = this->needs_new_lease || !this->held(now);
    return external::lease_request{.holder = this->options.holder,
                                   .renew = requests_new_lease ? core::lease_id{} : this->current,
                                   .term = this->options.term,
                                   .forget = std::move(forget)};
}

bool worker_lease::on_reply(const external::lease_reply& reply, core::steady_time sent,
                            core::steady_time now) {
    if (this->in_flight != sent) {
        return false;
    }
    this->in_flight.reset();
    switch (reply.verdict) {
    case external::lease_verdict::granted:
        this->on_granted(reply, sent);
        return true;
    case external::lease_verdict::held:
        this->failures = 0;
        this->current = core::lease_id{};
        this->next_due =
            now + std::clamp(reply.remaining, core::milliseconds{50}, this->options.renew_interval);
        return false;
    case external::lease_verdict::unreachable:
        this->on_unreachable();
        return false;
    }
    return false;
}

void worker_lease::on_granted(const external::lease_reply& reply, core::steady_time sent) {
    this->failures = 0;
    this->current = reply.lease;
    this->last_granted = sent;
    if (this->new_lease_in_flight) {
        this->needs_new_lease = false;
    }
}

void worker_lease::on_unreachable() {
    ++this->failures;
    if (this->failures < this->options.max_failures || !this->last_granted) {
        return;
    }
    // Any further call might renew the lease without this host learning of it, so the worker is not called
    // until its tasks have certainly ended.
    this->next_due = std::max(this->next_due, *this->last_sent + this->expiry_time());
    this->failures = 0;
}

bool worker_lease::held(core::steady_time now) const {
    return this->current != core::lease_id{} && now < this->start_deadline();
}

core::steady_time worker_lease::start_deadline() const {
    return this->last_granted ? *this->last_granted + this->options.term - this->options.clock_drift
                              : core::steady_time{};
}

core::milliseconds worker_lease::expiry_time() const {
    return this->options.timeout + this->options.term + this->options.task_hold + this->options.clock_drift;
}

bool worker_lease::tasks_surely_ended(core::steady_time now) const {
    return this->last_granted && !this->in_flight && !this->held(now) &&
           now >= *this->last_sent + this->expiry_time();
}

} // namespace rattanmount::cell
