#pragma once

#include "core/job.h"

#include <string_view>

namespace rattanmount::core {

/// @param kind a kind of work.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(work_kind kind);

/// @param text the name of a kind of work.
/// @return the kind.
/// @throws core::invalid_argument where there is none of that name.
[[nodiscard]] work_kind parse_work_kind(std::string_view text);

/// @param end how an attempt ended.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(attempt_end end);

/// @param text the name of an end.
/// @return the end.
/// @throws core::invalid_argument where there is none of that name.
[[nodiscard]] attempt_end parse_attempt_end(std::string_view text);

/// @param phase how far a task is.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(task_phase phase);

} // namespace rattanmount::core
