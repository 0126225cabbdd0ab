#include "dispatch/order_retrier.h"

namespace rattanmount::dispatch {

void order_retrier::run(core::steady_time now) {
    while (this->state.orders.has_room()) {
        const auto name = this->state.retries.take_due(now);
        if (!name) {
            return;
        }
        auto* step = this->state.find_step(name->task.step);
        auto* run =
            step == nullptr ? nullptr : run_manager::find_run(step->tasks[name->task.index], name->run);
        if (run != nullptr && now >= run->retry_at) {
            this->retry(*step, name->task.index, *run, now);
        }
    }
}

void order_retrier::retry(live_step& step, std::uint32_t index, live_run& run, core::steady_time now) {
    const bool stops = run.phase == run_phase::stopping && !run.answered_at;
    if (!stops && run.phase != run_phase::unconfirmed) {
        return;
    }
    const auto worker = this->state.workers.find(run.worker);
    if (worker != this->state.workers.end() &&
        (worker->second.unanswered_holds > 0 || !worker->second.proven.knows_token)) {
        // Orders to a worker that does not answer holds take the room of those to others. One that has
        // restarted has to answer under its token before the next order.
        run.retry_at = now + this->state.options.order_retry_interval;
        this->state.retries.add(run.retry_at, {.task = {.step = step.name, .index = index}, .run = run.run});
        return;
    }
    // The worker was chosen by what its former incarnation was.
    const bool restarted =
        worker != this->state.workers.end() && worker->second.entry.incarnation != run.incarnation;
    if (stops || restarted || run.start_tries >= this->state.options.max_start_tries ||
        !this->state.can_send_orders(now)) {
        this->runs.stop(step, index, run, now);
        return;
    }
    run.start_tries++;
    this->runs.send_start(step, index, run, now);
}

} // namespace rattanmount::dispatch
