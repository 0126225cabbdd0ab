#pragma once

#include "core/job.h"
#include "ledger/job_entry.h"

#include <records_types.h>

/// @file
/// Conversion of jobs between the program's types and the generated Thrift types.

namespace rattanmount::ledger {

/// Converts a value to its generated type.
[[nodiscard]] gen::job_spec_data to_generated(const core::job_spec& value);
[[nodiscard]] gen::job_entry_data to_generated(const job_entry& value);

/// Converts a value from its generated type.
/// @throws core::invalid_argument if a number is not an enumerator of its enumeration.
[[nodiscard]] core::job_spec from_generated(gen::job_spec_data&& value);
[[nodiscard]] job_entry from_generated(gen::job_entry_data&& value);

} // namespace rattanmount::ledger
