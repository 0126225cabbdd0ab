#include "external/http_message.h"

#include <nlohmann/json.hpp>

namespace rattanmount::external {

namespace {

constexpr std::uint16_t first_client_error = 400;
constexpr std::uint16_t first_server_error = 500;
constexpr std::uint16_t service_unavailable = 503;

bool reports_no_effect(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && json.contains("effect") && json["effect"] == "none";
}

} // namespace

bool http_answer::refused() const {
    if (this->outcome != exchange_outcome::answered) {
        return false;
    }
    if (this->status >= first_client_error && this->status < first_server_error) {
        return true;
    }
    return this->status == service_unavailable && reports_no_effect(this->body);
}

} // namespace rattanmount::external
