#include "platform/http_fleet_client.h"

#include "core/errors.h"
#include "platform/fleet_codec.h"

namespace rattanmount::platform {

namespace {

constexpr std::uint16_t status_ok = 200;

} // namespace

http_fleet_client::http_fleet_client(http_fleet_client_options options)
    : options(std::move(options)), caller(this->options.connections) {}

fleet_service http_fleet_client::hooks() {
    return fleet_service{.list = [this](core::milliseconds timeout) { return this->list(timeout); }};
}

fleet_list http_fleet_client::list(core::milliseconds timeout) {
    const auto answer = this->caller.call(
        this->options.address, {.method = "GET", .target = this->options.address.path + "/fleet"}, timeout);
    if (answer.fate != exchange_fate::answered) {
        throw core::unavailable("no fleet list: " + answer.reason);
    }
    if (answer.status != status_ok) {
        throw core::unavailable("no fleet list: status " + std::to_string(answer.status));
    }
    try {
        return decode_fleet(answer.body);
    } catch (const core::invalid_argument& error) {
        throw core::unavailable(error.what());
    }
}

} // namespace rattanmount::platform
