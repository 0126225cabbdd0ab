#pragma once

#include "settings/host_settings.h"
#include "settings/settings_error.h"

#include <vector>

namespace rattanmount::settings {

/// Finds settings that contradict each other.
/// @param settings settings whose values are each in range, except for those with a known fault.
/// @param known_faults the faults found so far; a check that needs a value with a fault is skipped.
/// @return one fault per contradiction.
[[nodiscard]] std::vector<fault> cross_check(const host_settings& settings,
                                             const std::vector<fault>& known_faults);

} // namespace rattanmount::settings
