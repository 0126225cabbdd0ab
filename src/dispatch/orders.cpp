#include "dispatch/orders.h"

namespace rattanmount::dispatch {

std::string_view to_string(order_outcome outcome) {
    switch (outcome) {
    case order_outcome::done:
        return "done";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::superseded:
        return "superseded";
    case order_outcome::too_late:
        return "too_late";
    case order_outcome::no_room:
        return "no_room";
    case order_outcome::ticket_rejected:
        return "ticket_rejected";
    case order_outcome::unhealthy:
        return "unhealthy";
    case order_outcome::other_incarnation:
        return "other_life";
    case order_outcome::invalid:
        return "invalid";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(run_outcome outcome) {
    switch (outcome) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::alone:
        return "alone";
    }
    return "unknown";
}

} // namespace rattanmount::dispatch
