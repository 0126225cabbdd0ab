#pragma once

#include "core/errors.h"

#include <string>
#include <vector>

namespace rattanmount::settings {

/// One error in a settings text.
struct fault {
    std::string place;   ///< A path such as "platform.log.address", or "line 3, column 7".
    std::string message; ///< What is wrong there and what was expected.

    friend bool operator==(const fault&, const fault&) = default;
};

/// Thrown if settings are invalid; holds all the faults that were found, not only the first.
class settings_error : public core::invalid_argument {
public:
    /// @param faults at least one fault.
    explicit settings_error(std::vector<fault> faults);

    /// @return the faults in the order in which they were found.
    [[nodiscard]] const std::vector<fault>& faults() const { return this->found; }

private:
    std::vector<fault> found;
};

} // namespace rattanmount::settings
