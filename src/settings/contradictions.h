#pragma once

#include "settings/settings_error.h"

#include <string>
#include <vector>

namespace rattanmount::settings {

/// Collects contradictions between settings that are valid individually.
///
/// Created by cross_check() and used by one thread.
class contradictions {
public:
    /// @param known_faults the faults found so far; must outlive this object.
    explicit contradictions(const std::vector<fault>& known_faults);

    /// Adds a fault if settings contradict each other, unless one of them already has a fault.
    /// @param paths the settings that are compared; the fault is reported for the first.
    /// @param consistent whether the settings agree.
    /// @param message the fault to report if they do not.
    void check(const std::vector<std::string>& paths, bool consistent, const std::string& message);

    /// @return the contradictions found, in the order of the checks.
    [[nodiscard]] const std::vector<fault>& faults() const { return this->found; }

private:
    [[nodiscard]] bool has_known_fault(const std::string& path) const;

    const std::vector<fault>& known_faults;
    std::vector<fault> found;
};

} // namespace rattanmount::settings
