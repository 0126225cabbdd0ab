#include "tests/control/simulated_worker.h"

#include <algorithm>

namespace rattanmount::tests {

simulated_worker::simulated_worker(external::listed_worker info, core::milliseconds hold)
    : listed(std::move(info)), hold(hold) {}

void simulated_worker::end_task(task& task, core::attempt_end how, core::steady_time now) {
    task.end = how;
    this->history[task.run].to = now;
}

void simulated_worker::advance(core::steady_time now) {
    const auto held_until = this->lease_end + this->hold;
    for (auto& [attempt, task] : this->tasks) {
        if (task.end) {
            continue;
        }
        if (task.due <= std::min(now, held_until)) {
            this->end_task(task, task.fails ? core::attempt_end::failed : core::attempt_end::finished,
                           task.due);
        } else if (held_until <= now) {
            this->end_task(task, core::attempt_end::stopped, held_until);
        }
    }
}

bool simulated_worker::in_force(core::lease_id lease, core::steady_time now) const {
    return lease == this->current && lease != core::lease_id{} && now < this->lease_end;
}

external::lease_reply simulated_worker::lease(const external::lease_request& request, core::steady_time now) {
    this->advance(now);
    const bool other_holds = now < this->lease_end && request.holder != this->holder;
    if (other_holds) {
        return {.verdict = external::lease_verdict::held,
                .remaining = std::chrono::duration_cast<core::milliseconds>(this->lease_end - now)};
    }
    if (request.renew != core::lease_id{} && !this->in_force(request.renew, now)) {
        return {.verdict = external::lease_verdict::held};
    }
    if (request.renew == core::lease_id{}) {
        this->current = core::lease_id{this->next_lease++};
        this->holder = request.holder;
    }
    this->lease_end = now + request.term;
    for (const auto& attempt : request.forget) {
        this->tasks.erase(attempt);
    }
    external::lease_reply reply{.verdict = external::lease_verdict::granted, .lease = this->current};
    for (const auto& [attempt, task] : this->tasks) {
        reply.inventory.push_back({.attempt = attempt, .each = task.each, .end = task.end});
    }
    return reply;
}

external::start_reply simulated_worker::start(core::lease_id lease, const core::attempt_id& attempt,
                                              const core::resources& each, core::milliseconds run_time,
                                              bool fails, core::steady_time now) {
    this->advance(now);
    if (!this->in_force(lease, now)) {
        return {.verdict = external::start_verdict::refused, .reason = "no such lease"};
    }
    if (this->tasks.contains(attempt)) {
        return {.verdict = external::start_verdict::started};
    }
    core::resources used = each;
    for (const auto& [other, task] : this->tasks) {
        used += task.end ? core::resources{} : task.each;
    }
    if (!used.fits_in(this->listed.capacity)) {
        ++this->violation_count;
        return {.verdict = external::start_verdict::refused, .reason = "no room"};
    }
    this->history.push_back({.worker = this->listed.name, .attempt = attempt, .from = now});
    this->tasks[attempt] =
        task{.each = each, .due = now + run_time, .fails = fails, .run = this->history.size() - 1};
    return {.verdict = external::start_verdict::started};
}

void simulated_worker::stop(core::lease_id lease, const core::attempt_id& attempt, core::steady_time now) {
    this->advance(now);
    const auto found = this->tasks.find(attempt);
    if (this->in_force(lease, now) && found != this->tasks.end() && !found->second.end) {
        this->end_task(found->second, core::attempt_end::stopped, now);
    }
}

void simulated_worker::restart(core::steady_time now) {
    this->advance(now);
    for (auto& [attempt, task] : this->tasks) {
        if (!task.end) {
            this->end_task(task, core::attempt_end::lost, now);
        }
    }
    this->tasks.clear();
    this->current = {};
    this->lease_end = {};
}

} // namespace rattanmount::tests
