#include "telemetry/logging.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>

namespace rattanmount::telemetry {

namespace {

std::atomic<log_format>& current_format() {
    static std::atomic<log_format> format{log_format::text};
    return format;
}

spdlog::level::level_enum level_of(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

/// Longest value that is written whole.
constexpr std::size_t max_value_bytes = 500;

/// Returns a value, cut if it is longer than max_value_bytes, so that input of any length fits in a line.
std::string bounded(const std::string& value) {
    return value.size() <= max_value_bytes ? value : value.substr(0, max_value_bytes) + "...";
}

std::string json_text(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Quotes a value only if it is empty or contains characters that would make its end ambiguous.
std::string text_value(const std::string& value) {
    const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char letter) {
        return letter > ' ' && letter < 0x7F && letter != '"' && letter != '=' && letter != '\\';
    });
    return plain ? value : json_text(value);
}

std::string text_line(std::string_view what, std::initializer_list<field> fields) {
    std::string line = "what=" + json_text(what);
    for (const auto& each : fields) {
        line += " " + std::string{each.name} + "=" + text_value(bounded(each.value));
    }
    return line;
}

std::string json_line(std::string_view what, std::initializer_list<field> fields) {
    std::string line = "\"what\":" + json_text(what);
    for (const auto& each : fields) {
        line += "," + json_text(each.name) + ":" + json_text(bounded(each.value));
    }
    return line;
}

constexpr const char* logger_name = "rattanmount";

spdlog::sink_ptr make_sink(std::ostream& out) {
    constexpr bool flush_each_line = true;
    return std::make_shared<spdlog::sinks::ostream_sink_mt>(out, flush_each_line);
}

void use_logger(std::shared_ptr<spdlog::logger> logger, const logging_options& options) {
    const auto* const pattern = options.format == log_format::text
                                    ? "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v"
                                    : R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
    logger->set_pattern(pattern, spdlog::pattern_time_type::utc);
    logger->set_level(level_of(options.level));
    current_format() = options.format;
    spdlog::set_default_logger(std::move(logger));
}

} // namespace

void configure_logging(const logging_options& options, std::ostream& out) {
    use_logger(std::make_shared<spdlog::logger>(logger_name, make_sink(out)), options);
}

void configure_async_logging(const logging_options& options, std::ostream& out, std::size_t queue_capacity) {
    constexpr std::size_t writer_threads = 1;
    spdlog::init_thread_pool(queue_capacity, writer_threads);
    use_logger(std::make_shared<spdlog::async_logger>(logger_name, make_sink(out), spdlog::thread_pool(),
                                                      spdlog::async_overflow_policy::overrun_oldest),
               options);
}

std::size_t dropped_log_lines() {
    const auto pool = spdlog::thread_pool();
    return pool == nullptr ? 0 : pool->overrun_counter();
}

void stop_async_logging() {
    spdlog::shutdown();
}

void configure_logging(const logging_options& options) {
    configure_logging(options, std::cerr);
}

void log_state(std::string_view what, std::initializer_list<field> fields, log_level level) {
    auto* const logger = spdlog::default_logger_raw();
    if (logger == nullptr || !logger->should_log(level_of(level))) {
        return;
    }
    const auto line =
        current_format() == log_format::text ? text_line(what, fields) : json_line(what, fields);
    logger->log(level_of(level), "{}", line);
}

} // namespace rattanmount::telemetry
