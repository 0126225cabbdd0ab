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
    core::resources capacity;             ///< Of each worker.
    core::milliseconds task_hold{10'000}; ///< As simulated_worker_options::task_hold.
    core::milliseconds usage_lag{1'000};  ///< As simulated_worker_options::usage_lag.
};

/// Simulates workers of equal capacity behind one port.
///
/// Owned by the program or the test; must outlive its hooks. Thread-safe.
class workers_role {
public:
    /// @param options the workers.
    /// @param events records the events of the workers; must outlive the role.
    /// @param faults provides failing starts and tasks; must outlive the role.
    workers_role(const workers_role_options& options, journal& events, fault_injector& faults);

    /// Returns the hooks for a stand_in_server.
    [[nodiscard]] role_hooks hooks();

private:
    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply dispatch(const stand_in_call& call, simulated_worker& worker);
    [[nodiscard]] stand_in_reply start(const stand_in_call& call, simulated_worker& worker,
                                       core::steady_time now);
    void advance_to(core::steady_time now);
    void freeze(const fault& injected, core::steady_time now);

    fault_injector& faults;
    std::mutex mutex;
    std::map<std::string, simulated_worker> workers;
};

} // namespace rattanmount::stand_ins
