#pragma once

#include "external/fleet_service.h"

#include <string>

namespace rattanmount::external {

/// Encodes a fleet list in the platform's JSON format.
[[nodiscard]] std::string encode_fleet(const fleet_list& list);

/// Decodes a fleet list in the platform's JSON format.
/// @throws core::invalid_argument with the reason if the text is not a valid list.
[[nodiscard]] fleet_list decode_fleet(const std::string& text);

} // namespace rattanmount::external
