#pragma once

#include "core/resources.h"

#include <cstdint>
#include <string_view>

namespace rattanmount::scheduling {

/// One of the three amounts of core::resources.
enum class dimension : std::uint8_t { processors, memory, accelerators };

/// @param value a dimension.
/// @return its name, as core::resources::first_excess() has it.
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

/// @param of an amount.
/// @param which a dimension.
/// @return the amount in that dimension: millicores, megabytes or a count.
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

/// @return the smaller amount in each dimension.
[[nodiscard]] constexpr core::resources elementwise_min(const core::resources& left,
                                                        const core::resources& right) {
    return {.millicores = left.millicores < right.millicores ? left.millicores : right.millicores,
            .memory_mb = left.memory_mb < right.memory_mb ? left.memory_mb : right.memory_mb,
            .accelerators = left.accelerators < right.accelerators ? left.accelerators : right.accelerators};
}

/// @return the larger amount in each dimension.
[[nodiscard]] constexpr core::resources elementwise_max(const core::resources& left,
                                                        const core::resources& right) {
    return {.millicores = left.millicores > right.millicores ? left.millicores : right.millicores,
            .memory_mb = left.memory_mb > right.memory_mb ? left.memory_mb : right.memory_mb,
            .accelerators = left.accelerators > right.accelerators ? left.accelerators : right.accelerators};
}

/// @param size what one task takes, no amount negative.
/// @param room what there is.
/// @param most an upper limit.
/// @return how many tasks of the size fit in the room, at most `most`.
[[nodiscard]] std::int64_t count_fitting(const core::resources& size, const core::resources& free,
                                         std::int64_t max_count);

} // namespace rattanmount::scheduling
