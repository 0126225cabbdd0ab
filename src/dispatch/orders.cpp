#include "dispatch/orders.h"

namespace rattanmount::dispatch {

std::string_view to_string(order_fate outcome) {
    switch (outcome) {
    case order_fate::done:
        return "done";
    case order_fate::fenced:
        return "fenced";
    case order_fate::superseded:
        return "superseded";
    case order_fate::too_late:
        return "too_late";
    case order_fate::no_room:
        return "no_room";
    case order_fate::ticket_rejected:
        return "ticket_rejected";
    case order_fate::unhealthy:
        return "unhealthy";
    case order_fate::other_life:
        return "other_life";
    case order_fate::invalid:
        return "invalid";
    case order_fate::not_sent:
        return "not_sent";
    case order_fate::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(run_end outcome) {
    switch (outcome) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    }
    return "unknown";
}

} // namespace rattanmount::dispatch
