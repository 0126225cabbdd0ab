#pragma once

#include "core/time.h"
#include "workflow/task_name.h"

#include <map>
#include <optional>

namespace rattanmount::dispatch {

/// The runs whose last order has to be looked at again, by time.
///
/// An entry is not removed when its order is answered; the caller checks whether the order is still due. Part
/// of dispatch_state; used by the control thread only.
class retry_schedule {
public:
    /// @param when when the order of the run has to be looked at.
    /// @param run the run.
    void add(core::steady_time when, workflow::run_name run);

    /// Removes the earliest entry if it is due.
    /// @param now the current time.
    /// @return its run, if any.
    std::optional<workflow::run_name> take_due(core::steady_time now);

    void clear() { this->entries.clear(); }

private:
    std::multimap<core::steady_time, workflow::run_name> entries;
};

} // namespace rattanmount::dispatch
