#pragma once

#include "external/worker_service.h"

#include <string>
#include <string_view>

namespace rattanmount::external {

/// Encodes the JSON body of a lease request.
/// @throws core::invalid_argument if a name in it is not UTF-8.
[[nodiscard]] std::string encode_lease_request(const lease_request& request);

/// Decodes the JSON body of the answer that grants a lease.
/// @return the lease and the inventory.
/// @throws core::invalid_argument with the reason if the text is invalid.
[[nodiscard]] lease_reply decode_granted_lease(const std::string& text);

/// Decodes the JSON body of the answer that refuses a lease because another holder has it.
/// @return the verdict `held` and the remaining time of the other lease.
/// @throws core::invalid_argument with the reason if the text is invalid.
[[nodiscard]] lease_reply decode_held_lease(const std::string& text);

/// Encodes the JSON body of a start request.
/// @param lease the lease under which the request is made.
/// @param attempt the attempt to start.
/// @param each the resources that the attempt takes.
/// @param payload the input of the task; must be UTF-8.
/// @throws core::invalid_argument if the payload or a name is not UTF-8.
[[nodiscard]] std::string encode_start(core::lease_id lease, const core::attempt_id& attempt,
                                       const core::resources& each, const std::string& payload);

/// Encodes the JSON body of an action on a running attempt.
/// @param lease the lease under which the request is made.
/// @param attempt the attempt.
/// @param action the action.
/// @throws core::invalid_argument if a name in it is not UTF-8.
[[nodiscard]] std::string encode_act(core::lease_id lease, const core::attempt_id& attempt,
                                     attempt_action action);

/// Returns the wire name of an action.
[[nodiscard]] std::string_view to_string(attempt_action action);

} // namespace rattanmount::external
