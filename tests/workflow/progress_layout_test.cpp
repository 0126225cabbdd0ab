#include "workflow/progress_layout.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanmount::tests {

namespace {

using namespace workflow;

job_accepted job_with(const std::vector<std::uint32_t>& tasks, std::uint32_t max_attempts) {
    job_accepted job{.policy = {.max_attempts = max_attempts}};
    for (const auto count : tasks) {
        step_request step;
        step.tasks = count;
        job.request.steps.push_back(step);
    }
    return job;
}

} // namespace

TEST_CASE("a small job has one part") {
    const progress_layout layout{job_with({6, 13}, 3)};
    CHECK(layout.parts() == 1);
    CHECK(layout.ranges_of(0) ==
          std::vector<progress_layout::task_range>{{.step = 0, .first = 0, .count = 6},
                                                   {.step = 1, .first = 0, .count = 13}});
}

TEST_CASE("each task of a job is in one part, in consecutive ranges") {
    const std::vector<std::uint32_t> tasks{2000, 1, 300, 7};
    const auto max_attempts = GENERATE(1U, 3U, 1000U, 1000000U);
    CAPTURE(max_attempts);
    const progress_layout layout{job_with(tasks, max_attempts)};
    std::vector<std::uint32_t> next(tasks.size(), 0);
    for (std::uint32_t part = 0; part < layout.parts(); part++) {
        for (const auto& range : layout.ranges_of(part)) {
            CHECK(range.first == next[range.step]);
            next[range.step] += range.count;
            CHECK(layout.part_of(range.step, range.first) == part);
            CHECK(layout.part_of(range.step, range.first + range.count - 1) == part);
        }
    }
    CHECK(next == tasks);
}

} // namespace rattanmount::tests
