#include "workflow/task_name.h"

#include "core/errors.h"

#include <charconv>
#include <system_error>

namespace rattanmount::workflow {

std::string step_name::text() const {
    return this->job.value() + "." + std::to_string(this->occurrence) + "." + std::to_string(this->step);
}

std::string task_name::text() const {
    return this->step.text() + "." + std::to_string(this->index);
}

std::optional<std::uint32_t> take_last_number(std::string_view& text) {
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(dot + 1);
    const auto* const end = digits.data() + digits.size();
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(digits.data(), end, number);
    if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    text.remove_suffix(digits.size() + 1);
    return number;
}

task_name task_name::parse(const std::string& text) {
    std::string_view rest = text;
    const auto index = take_last_number(rest);
    const auto step = index ? take_last_number(rest) : std::nullopt;
    const auto occurrence = step ? take_last_number(rest) : std::nullopt;
    if (!occurrence) {
        throw core::invalid_argument("expected a task name JOB.OCCURRENCE.STEP.INDEX, got '" + text + "'");
    }
    return {.step = {.job = job_key{std::string{rest}}, .occurrence = *occurrence, .step = *step},
            .index = *index};
}

} // namespace rattanmount::workflow
