#pragma once

#include "ledger/records.h"

#include <string>

namespace rattanmount::ledger {

/// Writes a batch as one entry of a stream.
/// @param batch the batch.
/// @return its bytes; times are cut to milliseconds.
[[nodiscard]] std::string encode(const record_batch& batch);

/// Reads a batch from one entry of a stream.
/// @param bytes what encode() of this version or another one wrote.
/// @return the batch; records of kinds that this version does not know are left out.
/// @throws core::invalid_argument where the bytes are not a whole batch and nothing else.
[[nodiscard]] record_batch decode(const std::string& bytes);

/// @param item a record.
/// @return how many bytes it adds to a batch.
[[nodiscard]] std::size_t encoded_size(const record& item);

/// @param note a release note.
/// @return a number that differs, but for chance, where any part of the note differs; the same in every
///         process.
[[nodiscard]] std::uint64_t fingerprint(const release::release_note& note);

} // namespace rattanmount::ledger
