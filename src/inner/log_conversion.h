#pragma once

#include "cell/keyed_log.h"
#include "inner/gen/inner_types.h"

#include <string>
#include <vector>

namespace rattanmount::inner {

/// @file
/// Conversion of log calls that one host makes on behalf of another. The conversions from
/// the wire throw core::invalid_argument only for a negative epoch or sequence of an append and for an
/// unknown status of an answer; missing fields and other values are not checked.

/// An append that one host asks another to make on its behalf.
struct forwarded_append {
    std::string stream;
    std::vector<cell::keyed_record> items;
    cell::producer_stamp stamp;
};

[[nodiscard]] gen::log_append_request to_wire(const forwarded_append& value);
[[nodiscard]] forwarded_append from_wire(const gen::log_append_request& message);

[[nodiscard]] std::vector<gen::log_item> to_wire(const std::vector<cell::keyed_record>& items);
[[nodiscard]] std::vector<cell::keyed_record> from_wire(const std::vector<gen::log_item>& messages);

[[nodiscard]] gen::log_answer to_wire(const cell::log_append_answer& value);
[[nodiscard]] gen::log_answer to_wire(const cell::log_read_answer& value);
[[nodiscard]] gen::log_answer to_wire(const cell::log_newest_answer& value);

[[nodiscard]] cell::log_append_answer append_answer_from_wire(const gen::log_answer& message);
[[nodiscard]] cell::log_read_answer read_answer_from_wire(const gen::log_answer& message);
[[nodiscard]] cell::log_newest_answer newest_answer_from_wire(const gen::log_answer& message);

} // namespace rattanmount::inner
