#pragma once

#include <string>

namespace rattanmount::release {

/// Whether a release note won.
struct note_result {
    bool accepted = false;
    std::string reason; ///< For a refusal: the items at fault, what was found, and who changed it.

    friend bool operator==(const note_result&, const note_result&) = default;
};

} // namespace rattanmount::release
