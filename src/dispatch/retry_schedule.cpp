#include "dispatch/retry_schedule.h"

#include <utility>

namespace rattanmount::dispatch {

void retry_schedule::add(core::steady_time when, workflow::run_name run) {
    this->entries.emplace(when, std::move(run));
}

std::optional<workflow::run_name> retry_schedule::take_due(core::steady_time now) {
    const auto first = this->entries.begin();
    if (first == this->entries.end() || first->first > now) {
        return std::nullopt;
    }
    auto run = std::move(first->second);
    this->entries.erase(first);
    return run;
}

} // namespace rattanmount::dispatch
