#pragma once

#include "release/release_note.h"

#include <records_types.h>

/// @file
/// Conversion of release notes and policies between the program's types and the generated Thrift types.

namespace rattanmount::ledger {

/// Converts a value to its generated type.
[[nodiscard]] gen::pool_data to_generated(const release::pool_policy& value);
[[nodiscard]] gen::team_data to_generated(const release::team_policy& value);
[[nodiscard]] gen::note_data to_generated(const release::release_note& value);

/// Converts a value from its generated type.
/// @throws core::invalid_argument if a number is not an enumerator of its enumeration.
[[nodiscard]] release::pool_policy from_generated(gen::pool_data&& value);
[[nodiscard]] release::team_policy from_generated(gen::team_data&& value);
[[nodiscard]] release::release_note from_generated(gen::note_data&& value);

} // namespace rattanmount::ledger
