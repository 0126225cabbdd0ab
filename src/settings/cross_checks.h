#pragma once

#include "settings/host_settings.h"
#include "settings/settings_error.h"

#include <vector>

namespace rattanmount::settings {

/// Finds settings that contradict each other.
/// @param settings settings whose values are each in range, but for those at fault.
/// @param known faults found so far; a check that needs a value at fault is left out.
/// @return the contradictions.
[[nodiscard]] std::vector<fault> cross_check(const host_settings& settings, const std::vector<fault>& known);

} // namespace rattanmount::settings
