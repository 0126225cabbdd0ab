#include "ledger/codec.h"

#include "ledger/policy_conversion.h"
#include "ledger/record_conversion.h"
#include "ledger/stable_hash.h"
#include "ledger/thrift_bytes.h"

#include <utility>

namespace rattanmount::ledger {

std::string encode(const record_batch& batch) {
    gen::batch_data data;
    data.producer = batch.producer.value();
    data.sequence = static_cast<std::int64_t>(batch.sequence.value());
    data.epoch = static_cast<std::int64_t>(batch.epoch.value());
    data.records.reserve(batch.records.size());
    for (const record& item : batch.records) {
        data.records.push_back(to_generated(item));
    }
    return to_bytes(data);
}

record_batch decode(const std::string& bytes) {
    auto data = from_bytes<gen::batch_data>(bytes);
    record_batch batch;
    batch.producer = core::incarnation_id{std::move(data.producer)};
    batch.sequence = core::sequence_number{static_cast<std::uint64_t>(data.sequence)};
    batch.epoch = core::epoch_id{static_cast<std::uint64_t>(data.epoch)};
    batch.records.reserve(data.records.size());
    for (gen::any_record& item : data.records) {
        if (auto known = from_generated(std::move(item))) {
            batch.records.push_back(std::move(*known));
        }
    }
    return batch;
}

std::size_t encoded_size(const record& item) {
    return to_bytes(to_generated(item)).size();
}

std::uint64_t fingerprint(const release::release_note& note) {
    return stable_hash(to_bytes(to_generated(note)));
}

} // namespace rattanmount::ledger
