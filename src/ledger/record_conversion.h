#pragma once

#include "ledger/records.h"

#include <optional>
#include <records_types.h>

/// @file
/// Conversion of records between the program's types and the generated Thrift types.

namespace rattanmount::ledger {

/// Converts a record to its generated type.
[[nodiscard]] gen::any_record to_generated(const record& value);

/// Converts a record from its generated type.
/// @return the record; empty if this version does not know its kind.
/// @throws core::invalid_argument if more than one kind is set or a number is not an enumerator of its
///         enumeration.
[[nodiscard]] std::optional<record> from_generated(gen::any_record&& value);

} // namespace rattanmount::ledger
