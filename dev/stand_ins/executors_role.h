#pragma once

#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::stand_ins {

struct executors_role_options {
    std::vector<std::string> names;
    std::size_t slots = 8;        ///< Concurrent requests per executor.
    std::size_t connections = 64; ///< Concurrent connections per executor.
};

/// Simulates executors behind one port. A connection counts towards the limit of each executor that it has
/// sent a request to.
///
/// Owned by the program or the test; must outlive its hooks. Thread-safe; a call blocks its thread while the
/// request runs.
class executors_role {
public:
    /// @param options the executors.
    /// @param events records the events of the executors; must outlive the role.
    /// @param faults provides freezes and failing requests; must outlive the role.
    executors_role(executors_role_options options, journal& events, fault_injector& faults);

    /// Returns the hooks for a stand_in_server.
    [[nodiscard]] role_hooks hooks();

private:
    struct executor {
        std::size_t running = 0;
        std::set<std::string> connections;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    /// Occupies a slot and a connection for a call, or records a violation.
    /// @return the limit that the call exceeds; "" if it is admitted.
    [[nodiscard]] std::string admit(const stand_in_call& call, executor& target);
    [[nodiscard]] stand_in_reply run(const stand_in_call& call);
    void record(journal_kind kind, const stand_in_call& call, const std::string& detail);
    void sleep_while_frozen(const std::string& target);
    void forget_connection(const std::string& connection);

    executors_role_options options;
    journal& events;
    fault_injector& faults;
    std::mutex mutex;
    std::map<std::string, executor> executors;
};

} // namespace rattanmount::stand_ins
