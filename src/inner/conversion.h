#pragma once

#include "cell/peer_calls.h"
#include "core/calls.h"
#include "inner/gen/inner_types.h"

namespace rattanmount::inner {

/// @file
/// Conversion between core types and the messages of the inner protocol.
///
/// Pure functions; any thread may call them. Every from_wire() throws core::invalid_argument with the name of
/// the field if a field is missing, a number is out of range, or an enumeration value is unknown.

[[nodiscard]] gen::resources to_wire(const core::resources& value);
[[nodiscard]] core::resources from_wire(const gen::resources& message);

[[nodiscard]] gen::endpoint to_wire(const core::endpoint& value);
[[nodiscard]] core::endpoint from_wire(const gen::endpoint& message);

[[nodiscard]] gen::peer_view to_wire(const cell::peer_view& value);
[[nodiscard]] cell::peer_view from_wire(const gen::peer_view& message);

[[nodiscard]] gen::job_id to_wire(const core::job_id& value);
[[nodiscard]] core::job_id from_wire(const gen::job_id& message);

[[nodiscard]] gen::job_spec to_wire(const core::job_spec& value);
[[nodiscard]] core::job_spec from_wire(const gen::job_spec& message);

[[nodiscard]] gen::owner_answer to_wire(const cell::owner_answer& value);
[[nodiscard]] cell::owner_answer from_wire(const gen::owner_answer& message);

[[nodiscard]] gen::quick_request to_wire(const core::quick_request& value);
[[nodiscard]] core::quick_request from_wire(const gen::quick_request& message);

[[nodiscard]] gen::owner_quick_answer to_wire(const cell::owner_quick_answer& value);
[[nodiscard]] cell::owner_quick_answer from_wire(const gen::owner_quick_answer& message);

[[nodiscard]] gen::slot_grant to_wire(const cell::slot_grant& value);
[[nodiscard]] cell::slot_grant from_wire(const gen::slot_grant& message);

[[nodiscard]] gen::config_copy to_wire(const cell::config_copy& value);
[[nodiscard]] cell::config_copy from_wire(const gen::config_copy& message);

[[nodiscard]] gen::advice_request to_wire(const dispatch::advice_order& value);
[[nodiscard]] dispatch::advice_order from_wire(const gen::advice_request& message);

[[nodiscard]] gen::advice_answer to_wire(const dispatch::advice_reply& value);
[[nodiscard]] dispatch::advice_reply from_wire(const gen::advice_answer& message);

[[nodiscard]] gen::submission to_wire(const cell::submission& value);
[[nodiscard]] cell::submission from_wire(const gen::submission& message);

[[nodiscard]] gen::placement_explanation to_wire(const dispatch::placement_explanation& value);
[[nodiscard]] dispatch::placement_explanation from_wire(const gen::placement_explanation& message);

/// Returns the wire value of a slot release.
[[nodiscard]] std::int8_t to_wire(cell::slot_release how);

/// Returns the slot release for a wire value.
/// @throws core::invalid_argument if the value is unknown.
[[nodiscard]] cell::slot_release slot_release_from_wire(std::int8_t number);

/// Returns the wire value of a numeric id.
template <typename Tag>
[[nodiscard]] std::int64_t to_wire(core::number_id<Tag> number) {
    return static_cast<std::int64_t>(number.value());
}

} // namespace rattanmount::inner
