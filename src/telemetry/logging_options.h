#pragma once

#include <cstdint>
#include <string_view>

namespace rattanmount::telemetry {

/// The least weight of a line that is written.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// How a line of the log is written.
enum class log_format : std::uint8_t {
    text, ///< key=value
    json, ///< One JSON object a line.
};

/// How the program logs.
struct logging_options {
    log_level level = log_level::info;
    log_format format = log_format::text;
};

/// @param level a level.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(log_level level);

/// @param text the name of a level.
/// @return the level.
/// @throws core::invalid_argument where there is none of that name.
[[nodiscard]] log_level parse_log_level(std::string_view text);

/// @param format a format.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(log_format format);

/// @param text the name of a format.
/// @return the format.
/// @throws core::invalid_argument where there is none of that name.
[[nodiscard]] log_format parse_log_format(std::string_view text);

} // namespace rattanmount::telemetry
