#include "workflow/job_request.h"

#include "core/errors.h"
#include "core/longest_duration.h"

#include <algorithm>

namespace rattanmount::workflow {

namespace {

void check_that(bool condition, const std::string& fault) {
    if (!condition) {
        throw core::invalid_argument(fault);
    }
}

void check_step(const step_request& step, std::size_t index) {
    const auto where = "step " + std::to_string(index) + ": ";
    check_that(step.tasks > 0, where + "has no tasks");
    check_that(step.tasks <= request_limits::max_tasks_per_step, where + "has too many tasks");
    check_that(step.each.valid(), where + "a resource amount is negative");
    check_that(step.estimate.count() >= 0, where + "the estimate is negative");
    check_that(std::all_of(step.after.begin(), step.after.end(),
                           [index](std::uint32_t earlier) { return earlier < index; }),
               where + "depends on a step that is not earlier");
}

} // namespace

bool job_request::long_running() const {
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [](const step_request& step) { return step.long_running; });
}

void job_request::check() const {
    check_that(!this->key.empty(), "the job has no name");
    check_that(!this->steps.empty(), "the job has no steps");
    check_that(this->steps.size() <= request_limits::max_steps, "the job has too many steps");
    check_that(this->payload.size() <= request_limits::max_payload_bytes, "the payload is too large");
    for (std::size_t i = 0; i < this->steps.size(); i++) {
        check_step(this->steps[i], i);
    }
    if (this->recurs) {
        check_that(this->recurs->times > 0, "the number of occurrences is 0");
        check_that(this->recurs->times <= request_limits::max_occurrences, "too many occurrences");
        check_that(this->recurs->interval.count() >= 0, "the interval is negative");
        check_that(this->recurs->interval <= core::longest_duration / this->recurs->times,
                   "the last occurrence is due too late");
    }
}

} // namespace rattanmount::workflow
