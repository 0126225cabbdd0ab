#pragma once

#include <string>

namespace rattanmount::release {

/// The decision of a policy_registry on a release note: accepted, or refused as a whole. core::note_answer is
/// the answer that the operator gets.
struct note_result {
    bool accepted = false;
    std::string reason; ///< If refused: each invalid item, the state it conflicts with and who set that.

    friend bool operator==(const note_result&, const note_result&) = default;
};

} // namespace rattanmount::release
