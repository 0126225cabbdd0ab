#pragma once

#include "ledger/records.h"

#include <optional>
#include <records_types.h>

/// @file
/// Conversion of records between their own types and the generated ones.

namespace rattanmount::ledger {

/// @param value a record.
/// @return the record as generated type.
[[nodiscard]] gen::any_record to_generated(const record& value);

/// @param value a record as generated type.
/// @return the record; empty where its kind is not known.
/// @throws core::invalid_argument where it has two kinds or a number names no value of its enumeration.
[[nodiscard]] std::optional<record> from_generated(gen::any_record&& value);

} // namespace rattanmount::ledger
