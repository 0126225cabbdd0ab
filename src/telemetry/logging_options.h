#pragma once

#include <cstdint>
#include <string_view>

namespace rattanmount::telemetry {

/// The severity of a log line, ascending.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// The format of log lines.
enum class log_format : std::uint8_t {
    text, ///< key=value pairs.
    json, ///< One JSON object per line.
};

/// The options of the process's log.
struct logging_options {
    log_level level = log_level::info; ///< Lines below this level are not written.
    log_format format = log_format::text;
};

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(log_level level);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] log_level parse_log_level(std::string_view text);

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(log_format format);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] log_format parse_log_format(std::string_view text);

} // namespace rattanmount::telemetry
