#include "dispatch/run_manager.h"

#include "telemetry/logging.h"

#include <algorithm>

namespace rattanmount::dispatch {

core::resources reserved_resources(const workflow::step_request& step) {
    auto amount = step.each;
    if (step.uses_leftover) {
        amount.millicores = 0;
    }
    return amount;
}

void run_manager::start(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run,
                        core::steady_time now) {
    auto& added = this->add(step, index, worker, run);
    auto& task = step.tasks[index];
    task.last_run = std::max(task.last_run, run);
    task.recorded_worker = {};
    added.checkpoint = task.checkpoint;
    added.is_timed = task.checkpoint.empty();
    const auto advised = step.advice.allowed.find(worker.entry.worker);
    if (advised != step.advice.allowed.end()) {
        added.ticket = advised->second.id;
    }
    this->state.mark_dirty(step, index);
    this->send_start(step, index, added, now);
}

live_run& run_manager::adopt(live_step& step, std::uint32_t index, worker_state& worker,
                             const reported_run& row, core::steady_time now) {
    auto& task = step.tasks[index];
    auto& run = this->add(step, index, worker, row.run.run);
    run.phase = run_phase::running;
    run.is_confirmed = true;
    run.answered_at = now;
    run.checkpoint = row.checkpoint;
    task.last_run = std::max(task.last_run, row.run.run);
    task.recorded_worker = {};
    this->state.mark_begun(*step.job);
    this->state.mark_dirty(step, index);
    return run;
}

void run_manager::send_start(live_step& step, std::uint32_t index, live_run& run, core::steady_time now) {
    auto& worker = this->state.workers.at(run.worker);
    run.phase = run_phase::starting;
    run.start_sent_at = now;
    run.answered_at.reset();
    run.retry_at = now + this->state.options.order_retry_interval;
    this->state.orders.sent();
    const auto lease_until = worker.clock.estimate_at(now) + this->state.options.lease_term;
    worker.lease_until = std::max(worker.lease_until, lease_until);
    const workflow::run_name name{.task = {.step = step.name, .index = index}, .run = run.run};
    telemetry::log_state("start", {{"task", name.task.text()},
                                   {"run", std::to_string(run.run)},
                                   {"worker", run.worker.value()},
                                   {"try", std::to_string(run.start_tries)},
                                   {"incarnation", std::to_string(worker.entry.incarnation.value())}});
    this->state.options.hooks.start(
        {.target = this->state.target_of(worker),
         .run = name,
         .payload = step.job->entry->accepted.request.payload,
         .lease_until = lease_until,
         .checkpoint = run.checkpoint,
         .ticket = run.ticket,
         .timeout =
             this->state.orders.timeout(this->state.options.start_timeout) * (1U << (run.start_tries - 1)),
         .sent_at = now});
}

void run_manager::stop(live_step& step, std::uint32_t index, live_run& run, core::steady_time now) {
    const auto worker = this->state.workers.find(run.worker);
    if (worker == this->state.workers.end()) {
        return;
    }
    const workflow::run_name name{.task = {.step = step.name, .index = index}, .run = run.run};
    run.phase = run_phase::stopping;
    run.answered_at.reset();
    if (!this->state.orders.has_room()) {
        run.retry_at = now;
        this->state.retries.add(now, name);
        return;
    }
    run.retry_at = now + this->state.options.order_retry_interval;
    this->state.retries.add(run.retry_at, name);
    this->state.orders.sent();
    telemetry::log_state(
        "stopping run",
        {{"task", name.task.text()}, {"run", std::to_string(run.run)}, {"worker", run.worker.value()}});
    this->state.options.hooks.stop(
        {.target = this->state.target_of(worker->second), .run = name, .sent_at = now});
}

void run_manager::stop_unknown(const worker_state& worker, const workflow::run_name& run,
                               core::steady_time now) {
    if (!this->state.orders.has_room()) {
        return;
    }
    this->state.orders.sent();
    telemetry::log_state("stopping unknown run reported by worker",
                         {{"task", run.task.text()},
                          {"run", std::to_string(run.run)},
                          {"worker", worker.entry.worker.value()},
                          {"incarnation", std::to_string(worker.entry.incarnation.value())}});
    this->state.options.hooks.stop({.target = this->state.target_of(worker), .run = run, .sent_at = now});
}

void run_manager::remove(live_step& step, std::uint32_t index, std::uint32_t run,
                         const core::worker_id& worker) {
    auto& runs = step.tasks[index].runs;
    const auto found = std::find_if(runs.begin(), runs.end(), [&](const live_run& one) {
        return one.run == run && one.worker == worker;
    });
    if (found == runs.end()) {
        return;
    }
    const auto place = this->state.workers.find(found->worker);
    if (place != this->state.workers.end()) {
        place->second.runs.erase({.task = {.step = step.name, .index = index}, .run = run});
        this->release(step, place->second);
    }
    this->state.teams.release(step.job->team(), reserved_resources(*step.request));
    this->state.placement_needed = true; // Its team may have room now, even if the worker is gone.
    count_one_less(step, found->worker);
    runs.erase(found);
}

void run_manager::reserve_place(live_step& step, std::uint32_t index, worker_state& worker) {
    reserve(step, worker);
    this->state.teams.reserve_place(step.job->team(), reserved_resources(*step.request));
    worker.kept_places.insert({.step = step.name, .index = index});
    if (!step.request->long_running) {
        worker.reserved_for_kept_places += reserved_resources(*step.request);
    }
}

void run_manager::release_place(live_step& step, std::uint32_t index, const core::worker_id& worker) {
    const auto place = this->state.workers.find(worker);
    // A worker that has left the list and come back has no places kept.
    if (place != this->state.workers.end() &&
        place->second.kept_places.erase({.step = step.name, .index = index}) > 0) {
        this->release(step, place->second);
        if (!step.request->long_running) {
            place->second.reserved_for_kept_places -= reserved_resources(*step.request);
        }
    }
    this->state.teams.release_place(step.job->team(), reserved_resources(*step.request));
    this->state.placement_needed = true;
    count_one_less(step, worker);
}

live_run* run_manager::find_run(live_task& task, std::uint32_t run) {
    const auto found = std::find_if(task.runs.begin(), task.runs.end(),
                                    [run](const live_run& one) { return one.run == run; });
    return found == task.runs.end() ? nullptr : &*found;
}

live_run* run_manager::find_run_on(live_task& task, std::uint32_t run, const core::worker_id& worker) {
    const auto found = std::find_if(task.runs.begin(), task.runs.end(), [&](const live_run& one) {
        return one.run == run && one.worker == worker;
    });
    return found == task.runs.end() ? nullptr : &*found;
}

live_run& run_manager::add(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run) {
    reserve(step, worker);
    this->state.teams.reserve(step.job->team(), reserved_resources(*step.request));
    const workflow::task_name task{.step = step.name, .index = index};
    worker.runs.insert({.task = task, .run = run});
    auto& runs = step.tasks[index].runs;
    runs.push_back({.run = run, .worker = worker.entry.worker, .incarnation = worker.entry.incarnation});
    return runs.back();
}

void run_manager::reserve(live_step& step, worker_state& worker) {
    worker.reserved += reserved_resources(*step.request);
    if (step.request->long_running) {
        worker.long_running_runs++;
        worker.reserved_for_services += reserved_resources(*step.request);
    }
    if (step.request->uses_leftover) {
        worker.leftover_runs++;
        worker.leftover_millicores += step.request->each.millicores;
    }
    step.runs_per_worker[worker.entry.worker]++;
}

void run_manager::release(const live_step& step, worker_state& worker) {
    this->state.freed_workers.insert(worker.entry.worker);
    this->state.placement_needed = true;
    worker.reserved -= reserved_resources(*step.request);
    if (step.request->long_running) {
        worker.long_running_runs--;
        worker.reserved_for_services -= reserved_resources(*step.request);
    }
    if (step.request->uses_leftover) {
        worker.leftover_runs--;
        worker.leftover_millicores -= step.request->each.millicores;
    }
}

void run_manager::count_one_less(live_step& step, const core::worker_id& worker) {
    const auto count = step.runs_per_worker.find(worker);
    if (count != step.runs_per_worker.end() && --count->second == 0) {
        step.runs_per_worker.erase(count);
    }
}

} // namespace rattanmount::dispatch
