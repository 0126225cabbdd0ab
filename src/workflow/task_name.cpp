#include "workflow/task_name.h"

#include "core/errors.h"

#include <array>
#include <charconv>

namespace rattanmount::workflow {

std::string step_name::text() const {
    return this->job.value() + "." + std::to_string(this->occurrence) + "." + std::to_string(this->step);
}

std::string task_name::text() const {
    return this->step.text() + "." + std::to_string(this->index);
}

task_name task_name::parse(const std::string& text) {
    constexpr std::size_t number_count = 3;
    std::array<std::uint32_t, number_count> numbers{};
    auto end = text.size();
    for (std::size_t i = number_count; i-- > 0;) {
        const auto dot = end == 0 ? std::string::npos : text.rfind('.', end - 1);
        if (dot == std::string::npos) {
            throw core::invalid_argument("expected a task name JOB.OCCURRENCE.STEP.INDEX, got '" + text +
                                         "'");
        }
        const auto* const first = text.data() + dot + 1;
        const auto* const last = text.data() + end;
        const auto parsed = std::from_chars(first, last, numbers.at(i));
        if (first == last || parsed.ec != std::errc{} || parsed.ptr != last) {
            throw core::invalid_argument("expected a task name JOB.OCCURRENCE.STEP.INDEX, got '" + text +
                                         "'");
        }
        end = dot;
    }
    return {.step = {.job = job_key{text.substr(0, end)}, .occurrence = numbers[0], .step = numbers[1]},
            .index = numbers[2]};
}

} // namespace rattanmount::workflow
