#pragma once

#include "core/job.h"
#include "ledger/job_entry.h"

#include <records_types.h>

/// @file
/// Conversion of jobs between their own types and the generated ones.

namespace rattanmount::ledger {

/// @param value a value of the package.
/// @return the same value as generated type.
[[nodiscard]] gen::job_spec_data to_generated(const core::job_spec& value);
[[nodiscard]] gen::job_entry_data to_generated(const job_entry& value);

/// @param value a value as generated type.
/// @return the same value as type of the package.
/// @throws core::invalid_argument where a number names no value of its enumeration.
[[nodiscard]] core::job_spec from_generated(gen::job_spec_data&& value);
[[nodiscard]] job_entry from_generated(gen::job_entry_data&& value);

} // namespace rattanmount::ledger
