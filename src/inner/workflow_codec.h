#pragma once

#include "cell/keyed_log.h"
#include "workflow/records.h"

#include <string>
#include <vector>

namespace rattanmount::inner {

/// Encodes a record.
/// @return the keys of the record with their encoded values; an empty value deletes the key from the log.
[[nodiscard]] std::vector<cell::keyed_record> encode_record(const workflow::cell_record& record);

/// Decodes one key and value that encode_record() returned.
/// @throws core::invalid_argument if the key has no known kind or the value cannot be decoded.
[[nodiscard]] workflow::cell_record decode_record(const cell::keyed_record& bytes);

} // namespace rattanmount::inner
