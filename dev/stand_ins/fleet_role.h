#pragma once

#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace rattanmount::stand_ins {

/// The list of hosts. It shows what was put last or, under the fault lag, what was put some time ago.
///
/// Owned by the program or the test; its hooks refer to it. Any thread may call.
class fleet_role {
public:
    /// @param log where new lists are recorded; must outlive the role.
    /// @param faults asked for the fault lag; must outlive the role.
    fleet_role(journal& log, fault_board& faults);

    /// @return the calls of the role.
    [[nodiscard]] role_hooks hooks();

    /// Replaces the list.
    /// @param text the list in JSON; a missing version becomes the last one and 1.
    /// @return the version.
    /// @throws core::invalid_argument where it is no list.
    std::uint64_t put(const std::string& text);

private:
    struct listed {
        std::string text;
        std::uint64_t version = 0;
        core::steady_time put_at;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply get(const stand_in_call& call);
    [[nodiscard]] const listed& shown(core::steady_time as_of) const;

    journal& log;
    fault_board& faults;
    std::mutex mutex;
    std::deque<listed> lists; ///< Never empty; the newest at the back.
};

} // namespace rattanmount::stand_ins
