#pragma once

#include "release/release_note.h"

#include <records_types.h>

/// @file
/// Conversion of release notes and policies between their own types and the generated ones.

namespace rattanmount::ledger {

/// @param value a value of the package.
/// @return the same value as generated type.
[[nodiscard]] gen::pool_data to_generated(const release::pool_policy& value);
[[nodiscard]] gen::team_data to_generated(const release::team_policy& value);
[[nodiscard]] gen::note_data to_generated(const release::release_note& value);

/// @param value a value as generated type.
/// @return the same value as type of the package.
/// @throws core::invalid_argument where a number names no value of its enumeration.
[[nodiscard]] release::pool_policy from_generated(gen::pool_data&& value);
[[nodiscard]] release::team_policy from_generated(gen::team_data&& value);
[[nodiscard]] release::release_note from_generated(gen::note_data&& value);

} // namespace rattanmount::ledger
