#pragma once

#include "release/policy_registry.h"
#include "release/release_note.h"

#include <string>

namespace rattanmount::release {

/// Parses a release note in the format that operators write: JSON with comments.
///
///     {"id": "n7", "author": "ana", "items": [
///         {"change": "add", "pool": {"name": "previews", "kind": "quick", "priority": 900,
///                                    "urgent": true, "quick_limit": "2s", "services": ["render"]}},
///         {"change": "change", "replaces": 3, "team": {"name": "tabua", "region": "fiji", "weight": 2,
///                              "quota": {"millicores": 64000, "memory_mb": 262144}}},
///         {"change": "withdraw", "replaces": 1, "pool": {"name": "old"}}]}
///
/// A key that is left out takes the default of pool_policy or team_policy. This holds for a change as
/// well, because a change replaces the whole policy.
/// @throws core::invalid_argument listing all errors with their paths: unknown or duplicate keys, wrong
///         types, values out of range.
[[nodiscard]] release_note parse_note(const std::string& json);

/// Formats the policies in force, and the last policy of each withdrawn name, for operators.
/// @return a JSON object with the lists "in_force" and "withdrawn". Each element has the note and the author
///         of the last change, and an "item" that can be pasted into a new note: it changes the policy, or
///         adds a withdrawn one again, against the current revision.
[[nodiscard]] std::string format_policies(const policy_registry& registry);

} // namespace rattanmount::release
