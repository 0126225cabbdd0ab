#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanmount::core {

/// A timestamp that orders events across processes: wall-clock milliseconds and a counter that orders the
/// events within one millisecond.
///
/// A value type. telemetry::hybrid_clock issues these timestamps: they always increase, and they are later
/// than every timestamp that the clock has accepted from another process.
struct hybrid_time {
    system_time wall{};        ///< Whole milliseconds, from 1970 to the year 10889.
    std::uint32_t counter = 0; ///< 0 to max_counter.

    /// number() packs the counter into the lower 16 bits and the milliseconds into the upper 48 bits.
    static constexpr std::uint32_t counter_bits = 16;
    static constexpr std::uint32_t max_counter = (1U << counter_bits) - 1;

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;

    /// @return the timestamp packed into 64 bits for messages; the numbers sort like the timestamps.
    [[nodiscard]] std::uint64_t number() const;

    /// @param number a result of number().
    [[nodiscard]] static hybrid_time from_number(std::uint64_t number);

    /// @return for example "2026-03-01T09:30:00.250Z/3".
    [[nodiscard]] std::string text() const;

    /// Parses a result of text().
    /// @throws core::invalid_argument if the text has another form.
    [[nodiscard]] static hybrid_time parse(std::string_view text);
};

} // namespace rattanmount::core
