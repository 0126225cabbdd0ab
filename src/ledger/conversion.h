#pragma once

#include "ledger/job_entry.h"
#include "ledger/producer_table.h"
#include "ledger/records.h"
#include "release/release_note.h"

#include <optional>
#include <records_types.h>
#include <vector>

/// @file
/// Conversion between the types of the package and the generated ones. Only the codec and the folds'
/// snapshots include it.

namespace rattanmount::ledger {

/// @param value a value of the package.
/// @return the same value as generated type.
[[nodiscard]] gen::job_spec_data to_generated(const core::job_spec& value);
[[nodiscard]] gen::job_entry_data to_generated(const job_entry& value);
[[nodiscard]] gen::pool_data to_generated(const release::pool_policy& value);
[[nodiscard]] gen::team_data to_generated(const release::team_policy& value);
[[nodiscard]] gen::note_data to_generated(const release::release_note& value);
[[nodiscard]] gen::any_record to_generated(const record& value);
[[nodiscard]] std::vector<gen::producer_data> to_generated(const producer_table& value);

/// @param value a value as generated type.
/// @return the same value as type of the package.
/// @throws core::invalid_argument where a number names no value of its enumeration.
[[nodiscard]] core::job_spec from_generated(gen::job_spec_data&& value);
[[nodiscard]] job_entry from_generated(gen::job_entry_data&& value);
[[nodiscard]] release::pool_policy from_generated(gen::pool_data&& value);
[[nodiscard]] release::team_policy from_generated(gen::team_data&& value);
[[nodiscard]] release::release_note from_generated(gen::note_data&& value);

/// @param value a record as generated type.
/// @return the record; empty where its kind is not known.
/// @throws core::invalid_argument where it has two kinds or a number names no value of its enumeration.
[[nodiscard]] std::optional<record> from_generated(gen::any_record&& value);

/// @param producers the producers as generated type, from the oldest to the newest.
/// @param table where they are put; cleared before.
void from_generated(const std::vector<gen::producer_data>& producers, producer_table& table);

} // namespace rattanmount::ledger
