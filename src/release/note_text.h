#pragma once

#include "release/policy_book.h"
#include "release/release_note.h"

#include <string>

namespace rattanmount::release {

/// Reads a release note as an operator writes it: JSON with comments.
///
///     {"id": "n7", "author": "ana", "items": [
///         {"change": "add", "pool": {"name": "previews", "kind": "quick", "priority": 900,
///                                    "urgent": true, "quick_limit": "2s", "services": ["render"]}},
///         {"change": "change", "replaces": 3, "team": {"name": "tabua", "region": "fiji", "weight": 2,
///                              "quota": {"millicores": 64000, "memory_mb": 262144}}},
///         {"change": "withdraw", "replaces": 1, "pool": {"name": "old"}}]}
///
/// A key that is left out takes the default of pool_policy or team_policy, also in a change, which
/// replaces the whole policy.
/// @param json the text.
/// @return the note.
/// @throws core::invalid_argument with all faults and their places: unknown or repeated keys, wrong types,
///         values out of range.
[[nodiscard]] release_note parse_note(const std::string& json);

/// Writes the policies in force for operators, and the last ones of the names that were withdrawn.
/// @param book the policies.
/// @return a JSON object with the lists "in_force" and "withdrawn". Each element has the note and author
///         that changed it last and an "item": what a note would hold that changes it, or adds it anew,
///         against the revision found.
[[nodiscard]] std::string format_policies(const policy_book& book);

} // namespace rattanmount::release
