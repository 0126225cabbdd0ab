#pragma once

#include "ledger/records.h"

#include <string>

namespace rattanmount::ledger {

/// Encodes a batch as one entry of a stream. Times are truncated to milliseconds.
[[nodiscard]] std::string encode(const record_batch& batch);

/// Decodes a batch from one entry of a stream.
/// @param bytes the result of encode(), possibly of another version of the program.
/// @return the batch, without records of kinds that this version does not know.
/// @throws core::invalid_argument if the bytes are not exactly one complete batch.
[[nodiscard]] record_batch decode(const std::string& bytes);

/// @return the number of bytes that a record adds to an encoded batch.
[[nodiscard]] std::size_t encoded_size(const record& item);

/// @return a hash over all parts of a release note, the same in every process. Different notes have different
/// hashes, except for collisions by chance.
[[nodiscard]] std::uint64_t fingerprint(const release::release_note& note);

} // namespace rattanmount::ledger
