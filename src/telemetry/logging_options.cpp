#include "telemetry/logging_options.h"

#include "core/errors.h"

#include <string>

namespace rattanmount::telemetry {

std::string_view to_string(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

log_level parse_log_level(std::string_view text) {
    for (const auto level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (to_string(level) == text) {
            return level;
        }
    }
    throw core::invalid_argument("expected one of debug, info, warning, error, got '" + std::string{text} +
                                 "'");
}

std::string_view to_string(log_format format) {
    return format == log_format::text ? "text" : "json";
}

log_format parse_log_format(std::string_view text) {
    for (const auto format : {log_format::text, log_format::json}) {
        if (to_string(format) == text) {
            return format;
        }
    }
    throw core::invalid_argument("expected one of text, json, got '" + std::string{text} + "'");
}

} // namespace rattanmount::telemetry
