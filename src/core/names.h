#pragma once

#include "core/job.h"

#include <string_view>

namespace rattanmount::core {

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(work_kind kind);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] work_kind parse_work_kind(std::string_view text);

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(attempt_end end);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] attempt_end parse_attempt_end(std::string_view text);

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(task_phase phase);

} // namespace rattanmount::core
