#include "inner/log_conversion.h"

#include "core/errors.h"

#include <utility>

namespace rattanmount::inner {

namespace {

std::vector<gen::log_item> items_to_wire(const std::vector<cell::log_item>& items) {
    std::vector<gen::log_item> messages;
    messages.reserve(items.size());
    for (const auto& item : items) {
        gen::log_item message;
        message.__set_offset(static_cast<std::int64_t>(item.offset.value()));
        message.__set_key(item.record.key);
        message.__set_value(item.record.value);
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<cell::log_item> items_from_wire(const std::vector<gen::log_item>& messages) {
    std::vector<cell::log_item> items;
    items.reserve(messages.size());
    for (const auto& message : messages) {
        items.push_back({.offset = core::log_offset{static_cast<std::uint64_t>(message.offset)},
                         .record = {.key = message.key, .value = message.value}});
    }
    return items;
}

std::int8_t log_status_to_wire(cell::log_status status) {
    return static_cast<std::int8_t>(status);
}

cell::log_status log_status_from_wire(std::int8_t number) {
    if (number < 0 || number > static_cast<std::int8_t>(cell::log_status::rejected)) {
        throw core::invalid_argument("log_answer.fate: unknown value " + std::to_string(number));
    }
    return static_cast<cell::log_status>(number);
}

core::log_offset next_offset_from_wire(const gen::log_answer& message) {
    return core::log_offset{static_cast<std::uint64_t>(message.next_offset)};
}

} // namespace

std::vector<gen::log_item> to_wire(const std::vector<cell::keyed_record>& items) {
    std::vector<gen::log_item> messages;
    messages.reserve(items.size());
    for (const auto& bytes : items) {
        gen::log_item message;
        message.__set_key(bytes.key);
        message.__set_value(bytes.value);
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<cell::keyed_record> from_wire(const std::vector<gen::log_item>& messages) {
    std::vector<cell::keyed_record> items;
    items.reserve(messages.size());
    for (const auto& message : messages) {
        items.push_back({.key = message.key, .value = message.value});
    }
    return items;
}

gen::log_append_request to_wire(const forwarded_append& value) {
    gen::log_append_request message;
    message.__set_stream(value.stream);
    message.__set_items(to_wire(value.items));
    message.__set_producer(value.stamp.producer);
    message.__set_epoch(static_cast<std::int64_t>(value.stamp.epoch.value()));
    message.__set_sequence(static_cast<std::int64_t>(value.stamp.sequence.value()));
    return message;
}

forwarded_append from_wire(const gen::log_append_request& message) {
    if (message.epoch < 0 || message.sequence < 0) {
        throw core::invalid_argument("log_append_request: epoch or sequence is negative");
    }
    return forwarded_append{
        .stream = message.stream,
        .items = from_wire(message.items),
        .stamp = {.producer = message.producer,
                  .epoch = core::epoch_id{static_cast<std::uint64_t>(message.epoch)},
                  .sequence = core::sequence_number{static_cast<std::uint64_t>(message.sequence)}}};
}

gen::log_answer to_wire(const cell::log_append_answer& value) {
    gen::log_answer message;
    message.__set_fate(log_status_to_wire(value.status));
    message.__set_expected(static_cast<std::int64_t>(value.expected.value()));
    return message;
}

gen::log_answer to_wire(const cell::log_read_answer& value) {
    gen::log_answer message;
    message.__set_fate(log_status_to_wire(value.status));
    message.__set_items(items_to_wire(value.items));
    message.__set_next_offset(static_cast<std::int64_t>(value.next.value()));
    message.__set_at_end(value.at_end);
    return message;
}

gen::log_answer to_wire(const cell::log_newest_answer& value) {
    gen::log_answer message;
    message.__set_fate(log_status_to_wire(value.status));
    message.__set_items(items_to_wire(value.items));
    message.__set_next_offset(static_cast<std::int64_t>(value.next.value()));
    return message;
}

cell::log_append_answer append_answer_from_wire(const gen::log_answer& message) {
    return {.status = log_status_from_wire(message.fate),
            .expected = core::sequence_number{static_cast<std::uint64_t>(message.expected)}};
}

cell::log_read_answer read_answer_from_wire(const gen::log_answer& message) {
    return {.status = log_status_from_wire(message.fate),
            .items = items_from_wire(message.items),
            .next = next_offset_from_wire(message),
            .at_end = message.at_end};
}

cell::log_newest_answer newest_answer_from_wire(const gen::log_answer& message) {
    return {.status = log_status_from_wire(message.fate),
            .items = items_from_wire(message.items),
            .next = next_offset_from_wire(message)};
}

} // namespace rattanmount::inner
