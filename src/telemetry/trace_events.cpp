#include "telemetry/trace_events.h"

#include "telemetry/trace_builder.h"

namespace rattanmount::telemetry {

std::string format_trace_events(const std::vector<event>& events) {
    trace_builder builder;
    for (const auto& each : events) {
        builder.add(each);
    }
    return builder.take().dump(1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace rattanmount::telemetry
