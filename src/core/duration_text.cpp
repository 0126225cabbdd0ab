#include "core/duration_text.h"

#include "core/errors.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cstdint>

namespace rattanmount::core {

namespace {

struct duration_unit {
    std::string_view name;
    milliseconds length;
};

/// Ordered from the longest unit to the shortest; format_duration() uses the first one that divides.
constexpr std::array<duration_unit, 5> units{{{"d", std::chrono::days{1}},
                                              {"h", std::chrono::hours{1}},
                                              {"m", std::chrono::minutes{1}},
                                              {"s", std::chrono::seconds{1}},
                                              {"ms", milliseconds{1}}}};

constexpr milliseconds longest_duration = std::chrono::days{10000};

[[noreturn]] void throw_invalid_duration(std::string_view text) {
    throw invalid_argument("not a duration: '" + std::string{text} +
                           "'; write a whole number and one of ms, s, m, h, d, for example 250ms");
}

milliseconds unit_length(std::string_view name, std::string_view text) {
    for (const auto& unit : units) {
        if (unit.name == name) {
            return unit.length;
        }
    }
    throw_invalid_duration(text);
}

} // namespace

milliseconds parse_duration(std::string_view text) {
    if (text == "0") {
        return milliseconds{0};
    }
    std::uint64_t count = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc{} || end == text.data()) {
        throw_invalid_duration(text);
    }
    const auto length = unit_length(std::string_view{end, static_cast<std::size_t>(last - end)}, text);
    if (count > static_cast<std::uint64_t>(longest_duration / length)) {
        throw invalid_argument("duration is longer than 10000 days: '" + std::string{text} + "'");
    }
    return length * static_cast<std::int64_t>(count);
}

std::string format_duration(milliseconds duration) {
    assert(duration.count() >= 0);
    if (duration.count() == 0) {
        return "0ms";
    }
    for (const auto& unit : units) {
        if (duration % unit.length == milliseconds{0}) {
            return std::to_string(duration / unit.length) + std::string{unit.name};
        }
    }
    return std::to_string(duration.count()) + "ms";
}

} // namespace rattanmount::core
