#pragma once

#include "telemetry/logging_options.h"

#include <cstddef>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>

namespace rattanmount::telemetry {

/// A named value in a log line.
struct field {
    std::string_view name;
    std::string value;
};

/// Configures logging for the process. Call once, before other threads start.
/// @param options the minimum level and the line format.
/// @param out where lines are written; must outlive all logging.
void configure_logging(const logging_options& options, std::ostream& out);

/// Configures logging so that a thread of its own writes the lines and no caller waits for the stream. If the
/// queue is full, the oldest queued lines are dropped and counted.
/// @param options the minimum level and the line format.
/// @param out where lines are written; must outlive all logging.
/// @param queue_capacity the number of lines that may be queued.
void configure_async_logging(const logging_options& options, std::ostream& out, std::size_t queue_capacity);

/// @return the number of lines dropped since configure_async_logging(); 0 if that was not called.
[[nodiscard]] std::size_t dropped_log_lines();

/// Writes the queued lines and stops the writing thread. No line may be logged afterwards.
void stop_async_logging();

/// Configures logging to standard error.
/// @param options the minimum level and the line format.
void configure_logging(const logging_options& options);

/// Logs a change of state. Not for events of single requests, which are counted as metrics instead.
/// Thread-safe.
/// @param what the change, a constant text of a few words.
/// @param fields the objects and values that the change concerns.
void log_state(std::string_view what, std::initializer_list<field> fields, log_level level = log_level::info);

} // namespace rattanmount::telemetry
