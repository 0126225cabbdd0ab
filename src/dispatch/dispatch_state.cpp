#include "dispatch/dispatch_state.h"

namespace rattanmount::dispatch {

live_step* dispatch_state::find_step(const workflow::step_name& name) {
    const auto job = this->jobs.find(name.job);
    if (job == this->jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second->occurrences.find(name.occurrence);
    if (occurrence == job->second->occurrences.end() || name.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    return &occurrence->second.steps[name.step];
}

void dispatch_state::mark_dirty(live_job& job) {
    job.dirty = true;
    this->dirty_jobs.insert(job.key());
}

order_target dispatch_state::target_of(const worker_state& worker) const {
    return {.worker = worker.entry.worker,
            .incarnation = worker.entry.incarnation,
            .address = worker.entry.address,
            .fencing_token = this->epoch};
}

} // namespace rattanmount::dispatch
