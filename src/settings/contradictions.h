#pragma once

#include "settings/settings_error.h"

#include <string>
#include <vector>

namespace rattanmount::settings {

/// Collects contradictions between settings that are each right by themselves.
///
/// Made and used by cross_check(), by one thread.
class contradictions {
public:
    /// @param known faults found so far; outlives this object.
    explicit contradictions(const std::vector<fault>& known);

    /// Notes a fault where settings do not agree, unless one of them is at fault already.
    /// @param paths the settings that the check needs; the fault is shown at the first.
    /// @param holds whether they agree.
    /// @param message what is wrong otherwise.
    void check(const std::vector<std::string>& paths, bool holds, const std::string& message);

    /// @return the contradictions found, in the order of the checks.
    [[nodiscard]] const std::vector<fault>& faults() const { return this->found; }

private:
    [[nodiscard]] bool at_fault(const std::string& path) const;

    const std::vector<fault>& known;
    std::vector<fault> found;
};

} // namespace rattanmount::settings
