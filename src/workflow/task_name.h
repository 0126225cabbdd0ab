#pragma once

#include "workflow/job_request.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace rattanmount::workflow {

/// Identifies a step of one occurrence of a job.
struct step_name {
    job_key job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_name&, const step_name&) = default;

    /// @return "job.occurrence.step".
    [[nodiscard]] std::string text() const;
};

/// Cuts the last number off a name whose parts are separated by dots.
/// @param text the name; left unchanged if it has no such number.
/// @return the number, or nothing if the text after the last dot is none.
[[nodiscard]] std::optional<std::uint32_t> take_last_number(std::string_view& text);

/// Identifies a task of a step.
struct task_name {
    step_name step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;

    /// @return "job.occurrence.step.index".
    [[nodiscard]] std::string text() const;

    /// Parses the format of text().
    /// @param text the name of a task.
    /// @return the task.
    /// @throws core::invalid_argument if the text does not have that format.
    [[nodiscard]] static task_name parse(const std::string& text);
};

/// Identifies a run: one start of a task.
struct run_name {
    task_name task;
    std::uint32_t run = 0; ///< Number of the run within the task, from 1; numbers may be skipped.

    friend auto operator<=>(const run_name&, const run_name&) = default;

    /// @return "job.occurrence.step.index#run".
    [[nodiscard]] std::string text() const { return this->task.text() + "#" + std::to_string(this->run); }
};

} // namespace rattanmount::workflow
