#pragma once

#include <string>

namespace rattanmount::release {

/// The result of applying a release note: accepted, or refused as a whole.
struct note_result {
    bool accepted = false;
    std::string reason; ///< If refused: each invalid item, the state it conflicts with and who set that.

    friend bool operator==(const note_result&, const note_result&) = default;
};

} // namespace rattanmount::release
