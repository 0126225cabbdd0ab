#pragma once

#include "dispatch/placement_explanation.h"

#include <string>

namespace rattanmount::app {

/// @param explanation what would become of a job.
/// @return a readable description of several lines.
[[nodiscard]] std::string describe(const dispatch::placement_explanation& explanation);

/// @param explanation what would become of a job.
/// @return the same as a JSON object.
[[nodiscard]] std::string encode_json(const dispatch::placement_explanation& explanation);

} // namespace rattanmount::app
