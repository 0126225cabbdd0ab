#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanmount::core {

/// A time that orders events of several processes: the clock of the calendar in milliseconds and a counter
/// that orders what happened within one.
///
/// A value type. hybrid_clock of the package `telemetry` gives times that never go back and that follow
/// every time it was shown by another process.
struct hybrid_time {
    system_time wall{};        ///< Whole milliseconds, from 1970 to the year 10889.
    std::uint32_t counter = 0; ///< 0 to max_counter.

    /// The counter shares a number of 64 bits with 48 bits of milliseconds.
    static constexpr std::uint32_t counter_bits = 16;
    static constexpr std::uint32_t max_counter = (1U << counter_bits) - 1;

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;

    /// @return a number for messages, in the same order as the times.
    [[nodiscard]] std::uint64_t number() const;

    /// @param number what number() gave.
    /// @return the time.
    [[nodiscard]] static hybrid_time from_number(std::uint64_t number);

    /// @return for example "2026-03-01T09:30:00.250Z/3"; the same order as the times.
    [[nodiscard]] std::string text() const;

    /// Reads what text() wrote.
    /// @param text a time as text.
    /// @return the time.
    /// @throws core::invalid_argument where the text is not of that form.
    [[nodiscard]] static hybrid_time parse(std::string_view text);
};

} // namespace rattanmount::core
