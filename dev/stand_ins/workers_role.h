#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/simulated_worker.h"
#include "stand_ins/stand_in_call.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rattanmount::stand_ins {

struct workers_role_options {
    std::vector<std::string> names;
    core::resources capacity; ///< Of each worker.
    core::milliseconds hold{10'000};
    core::milliseconds usage_lag{1'000};
};

/// Some workers of one size behind one port.
///
/// Owned by the program or the test; its hooks refer to it. Any thread may call.
class workers_role {
public:
    /// @param options the workers.
    /// @param log where their events are recorded; must outlive the role.
    /// @param faults asked for failing starts and tasks; must outlive the role.
    workers_role(const workers_role_options& options, journal& log, fault_board& faults);

    /// @return the calls of the role.
    [[nodiscard]] role_hooks hooks();

private:
    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply dispatch(const stand_in_call& call, simulated_worker& worker);
    [[nodiscard]] stand_in_reply start(const stand_in_call& call, simulated_worker& worker,
                                       core::steady_time now);
    void settle(core::steady_time now);
    void freeze(const fault& ordered, core::steady_time now);

    fault_board& faults;
    std::mutex mutex;
    std::map<std::string, simulated_worker> workers;
};

} // namespace rattanmount::stand_ins
