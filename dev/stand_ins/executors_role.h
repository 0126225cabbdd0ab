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
    std::size_t slots = 8;        ///< Requests that each runs at once.
    std::size_t connections = 64; ///< Connections that each holds open at once.
};

/// Some executors behind one port; a connection counts for the executors that it was used for.
///
/// Owned by the program or the test; its hooks refer to it. Any thread may call; a call holds its thread
/// while the request runs.
class executors_role {
public:
    /// @param options the executors.
    /// @param log where their events are recorded; must outlive the role.
    /// @param faults asked for freezes and failing requests; must outlive the role.
    executors_role(executors_role_options options, journal& log, fault_board& faults);

    /// @return the calls of the role.
    [[nodiscard]] role_hooks hooks();

private:
    struct executor {
        std::size_t running = 0;
        std::set<std::string> connections;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] std::string admit(const stand_in_call& call, executor& target);
    [[nodiscard]] stand_in_reply run(const stand_in_call& call);
    void record(journal_kind kind, const stand_in_call& call, const std::string& detail);
    void sleep_while_frozen(const std::string& target);
    void forget(const std::string& connection);

    executors_role_options options;
    journal& log;
    fault_board& faults;
    std::mutex mutex;
    std::map<std::string, executor> executors;
};

} // namespace rattanmount::stand_ins
