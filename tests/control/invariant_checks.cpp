#include "tests/control/invariant_checks.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace rattanmount::tests {

namespace {

bool is_idempotent(const core::job_id& id, const std::map<core::job_id, submitted_job>& jobs) {
    const auto job = jobs.find(id);
    return job == jobs.end() ? core::job_spec{}.idempotent : job->second.spec.idempotent;
}

} // namespace

std::vector<std::string> find_repeated_runs(const std::vector<observed_run>& all,
                                            const std::map<core::job_id, submitted_job>& jobs) {
    std::vector<std::string> found;
    std::map<std::pair<core::job_id, std::uint32_t>, std::vector<observed_run>> by_task;
    for (const auto& run : all) {
        by_task[{run.attempt.job, run.attempt.task}].push_back(run);
    }
    for (auto& [task, runs] : by_task) {
        std::ranges::sort(runs, {}, &observed_run::from);
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const auto& before = runs[index - 1];
            if (!before.to || *before.to > runs[index].from) {
                found.push_back(before.attempt.text() + " on " + before.worker.value() + " and " +
                                runs[index].attempt.text() + " on " + runs[index].worker.value() +
                                " ran at once");
            }
        }
        if (!is_idempotent(task.first, jobs) && runs.size() > 1) {
            found.push_back(task.first.text() + " is not idempotent and ran " + std::to_string(runs.size()) +
                            " times");
        }
    }
    return found;
}

std::vector<std::string>
find_wrong_answers(const std::vector<observed_run>& runs, const std::map<core::job_id, submitted_job>& jobs,
                   const std::function<std::optional<core::job_answer>(const core::job_id&)>& status) {
    std::vector<std::string> found;
    std::set<core::job_id> ran;
    for (const auto& run : runs) {
        ran.insert(run.attempt.job);
    }
    std::set<core::job_id> known = ran;
    for (const auto& [id, job] : jobs) {
        known.insert(id);
    }
    for (const auto& id : known) {
        const auto last = status(id);
        const bool not_run =
            last && last->state == core::answer_state::ended && last->result == core::outcome::not_run;
        if (not_run && ran.contains(id)) {
            found.push_back(id.text() + " was reported as not_run but ran");
        }
        const auto job = jobs.find(id);
        const bool accepted = job != jobs.end() && job->second.accepted;
        if (accepted && last && last->state == core::answer_state::refused) {
            found.push_back(id.text() + " was accepted but is lost");
        }
    }
    return found;
}

} // namespace rattanmount::tests
