#pragma once

#include "core/resources.h"

#include <cstdint>
#include <string_view>

namespace rattanmount::scheduling {

/// One of the three resources of core::resources.
enum class dimension : std::uint8_t { processors, memory, accelerators };

/// @return the resource's name, the same as in core::resources::first_excess().
[[nodiscard]] constexpr std::string_view to_string(dimension value) {
    switch (value) {
    case dimension::processors:
        return "processors";
    case dimension::memory:
        return "memory";
    case dimension::accelerators:
        break;
    }
    return "accelerators";
}

/// @return the amount of one resource: millicores, megabytes or a count.
[[nodiscard]] constexpr std::int64_t amount(const core::resources& of, dimension which) {
    switch (which) {
    case dimension::processors:
        return of.millicores;
    case dimension::memory:
        return of.memory_mb;
    case dimension::accelerators:
        break;
    }
    return of.accelerators;
}

/// @return the minimum of each resource.
[[nodiscard]] constexpr core::resources elementwise_min(const core::resources& left,
                                                        const core::resources& right) {
    return {.millicores = left.millicores < right.millicores ? left.millicores : right.millicores,
            .memory_mb = left.memory_mb < right.memory_mb ? left.memory_mb : right.memory_mb,
            .accelerators = left.accelerators < right.accelerators ? left.accelerators : right.accelerators};
}

/// @return the maximum of each resource.
[[nodiscard]] constexpr core::resources elementwise_max(const core::resources& left,
                                                        const core::resources& right) {
    return {.millicores = left.millicores > right.millicores ? left.millicores : right.millicores,
            .memory_mb = left.memory_mb > right.memory_mb ? left.memory_mb : right.memory_mb,
            .accelerators = left.accelerators > right.accelerators ? left.accelerators : right.accelerators};
}

/// @param size the size of one task; no amount may be negative.
/// @param free the free resources.
/// @return how many tasks of that size fit, at most `max_count`.
[[nodiscard]] std::int64_t count_fitting(const core::resources& size, const core::resources& free,
                                         std::int64_t max_count);

} // namespace rattanmount::scheduling
