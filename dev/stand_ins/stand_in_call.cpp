#include "stand_ins/stand_in_call.h"

#include <nlohmann/json.hpp>

namespace rattanmount::stand_ins {

stand_in_reply refusal(std::uint16_t status, const std::string& reason) {
    return {.status = status, .body = nlohmann::json{{"effect", "none"}, {"error", reason}}.dump()};
}

} // namespace rattanmount::stand_ins
