#pragma once

#include "telemetry/logging_options.h"

#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>

namespace rattanmount::telemetry {

/// One named value of a line of the log.
struct field {
    std::string_view name;
    std::string value;
};

/// Sets how the process logs; call it once, before other threads start.
/// @param options the least level and the form of lines.
/// @param out takes the lines; outlives all logging.
void configure_logging(const logging_options& options, std::ostream& out);

/// As above, to standard error.
/// @param options the least level and the form of lines.
void configure_logging(const logging_options& options);

/// Writes one line about a change of state. Not for events of single requests; those are counted.
/// Any thread may call it.
/// @param what the change, a few words that are the same each time.
/// @param fields what it is about.
/// @param level its weight.
void log_state(std::string_view what, std::initializer_list<field> fields, log_level level = log_level::info);

} // namespace rattanmount::telemetry
