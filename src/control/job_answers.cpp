#include "control/job_answers.h"

#include <cstdint>
#include <utility>

namespace rattanmount::control {

namespace {

core::job_status status_of(const ledger::job_entry& entry) {
    core::job_status status{
        .spec = entry.spec, .accepted_at = entry.accepted_at, .ended = entry.ended, .reason = entry.reason};
    for (std::uint32_t index = 0; index < entry.tasks.size(); ++index) {
        const auto& task = entry.tasks[index];
        status.tasks_waiting += task.phase == core::task_phase::waiting ? 1 : 0;
        status.tasks_running += task.phase == core::task_phase::started ? 1 : 0;
        status.tasks_ended += task.phase == core::task_phase::ended ? 1 : 0;
        if (task.phase == core::task_phase::started) {
            status.places.push_back("task " + std::to_string(index) + " on " + task.place);
        }
    }
    return status;
}

} // namespace

cell::owner_answer make_answer(core::answer_state state, core::outcome result, std::string reason) {
    return {.is_owner = true, .answer = {.state = state, .result = result, .reason = std::move(reason)}};
}

cell::owner_answer refused_answer(std::string reason) {
    return make_answer(core::answer_state::refused, core::outcome::not_run, std::move(reason));
}

cell::owner_answer unsettled_answer(std::string reason) {
    return make_answer(core::answer_state::unsettled, core::outcome::unknown, std::move(reason));
}

cell::owner_answer key_conflict_answer(const core::job_spec& existing) {
    auto answer = refused_answer("key '" + existing.id.key.value() + "' was used before with another body");
    answer.answer.status = core::job_status{.spec = existing};
    return answer;
}

cell::owner_answer recorded_answer(const ledger::job_entry& entry) {
    auto answer = make_answer(entry.ended ? core::answer_state::ended : core::answer_state::accepted,
                              entry.ended.value_or(core::outcome::unknown), entry.reason);
    answer.moved_to = entry.moved_to;
    if (entry.moved_to) {
        answer.answer.reason = "handed to shard " + std::to_string(entry.moved_to->value());
    }
    answer.answer.status = status_of(entry);
    return answer;
}

} // namespace rattanmount::control
