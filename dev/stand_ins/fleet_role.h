#pragma once

#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace rattanmount::stand_ins {

/// Simulates the fleet list. Returns the latest list or, while the fault lag is active, an earlier one.
///
/// Owned by the program or the test; must outlive its hooks. Thread-safe.
class fleet_role {
public:
    /// @param events records new lists; must outlive the role.
    /// @param faults provides the fault lag; must outlive the role.
    fleet_role(journal& events, fault_injector& faults);

    /// Returns the hooks for a stand_in_server.
    [[nodiscard]] role_hooks hooks();

    /// Replaces the list.
    /// @param text the list in JSON. If it has no version, it gets the next one.
    /// @return the version of the list.
    /// @throws core::invalid_argument if the text is not a fleet list.
    std::uint64_t put(const std::string& text);

private:
    struct list_version {
        std::string text;
        std::uint64_t version = 0;
        core::steady_time published_at;
    };

    [[nodiscard]] stand_in_reply handle(const stand_in_call& call);
    [[nodiscard]] stand_in_reply get(const stand_in_call& call);
    /// Returns the list as it was at a time.
    [[nodiscard]] const list_version& list_at(core::steady_time as_of) const;

    journal& events;
    fault_injector& faults;
    std::mutex mutex;
    std::deque<list_version> lists; ///< Never empty; newest last.
};

} // namespace rattanmount::stand_ins
