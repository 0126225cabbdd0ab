#include "overload/delay_cost.h"

namespace rattanmount::overload {

namespace {

/// What the caller of a late job loses, as a share of what it loses if the job never ends.
constexpr double late_loss = 0.8;
/// Work of unknown size counts as so many core-seconds.
constexpr double unknown_core_seconds = 1;

double lost_share(prospect achieved) {
    switch (achieved) {
    case prospect::on_time:
        return 0;
    case prospect::late:
        return late_loss;
    case prospect::overdue:
        break;
    }
    return 1;
}

} // namespace

prospect prospect_after(const waiting_work& work, core::milliseconds delay) {
    const auto ends_after = work.waited + delay + work.remaining;
    if (ends_after <= work.latency_objective) {
        return prospect::on_time;
    }
    return ends_after <= work.latency_objective * late_factor ? prospect::late : prospect::overdue;
}

caller_loss loss_of(const waiting_work& work, core::milliseconds delay) {
    return {.if_started_now = lost_share(prospect_after(work, core::milliseconds{0})),
            .if_started_later = lost_share(prospect_after(work, delay))};
}

double urgency_of(const waiting_work& work, core::milliseconds delay) {
    const auto loss = loss_of(work, delay);
    const auto needed = work.core_seconds > 0 ? work.core_seconds : unknown_core_seconds;
    return (loss.if_started_later - loss.if_started_now) / needed;
}

} // namespace rattanmount::overload
