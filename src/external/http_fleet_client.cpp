#include "external/http_fleet_client.h"

#include "core/errors.h"
#include "external/fleet_codec.h"

namespace rattanmount::external {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_modified = 304;

} // namespace

http_fleet_client::http_fleet_client(http_fleet_client_options options)
    : options(std::move(options)), caller(this->options.connections) {}

fleet_service http_fleet_client::hooks() {
    return fleet_service{.list = [this](core::milliseconds timeout) { return this->list(timeout); }};
}

fleet_list http_fleet_client::list(core::milliseconds timeout) {
    std::string known_etag;
    {
        const std::lock_guard lock{this->mutex};
        known_etag = this->last_etag;
    }
    const auto answer = this->request_list(known_etag, timeout);
    if (answer.outcome != exchange_outcome::answered) {
        throw core::unavailable("fleet list service did not answer: " + answer.reason);
    }
    return this->handle_answer(answer);
}

http_answer http_fleet_client::request_list(const std::string& known_etag, core::milliseconds timeout) {
    http_message message{.method = "GET", .target = this->options.address.path + "/fleet"};
    if (!known_etag.empty()) {
        message.headers.push_back({.name = "If-None-Match", .value = known_etag});
    }
    return this->caller.call(this->options.address, std::move(message), timeout);
}

fleet_list http_fleet_client::handle_answer(const http_answer& answer) {
    const std::lock_guard lock{this->mutex};
    if (answer.status == status_not_modified && answer.etag == this->last_etag) {
        return this->last_list;
    }
    if (answer.status != status_ok) {
        throw core::unavailable("fleet list service answered with status " + std::to_string(answer.status));
    }
    try {
        this->last_list = decode_fleet(answer.body);
        this->last_etag = answer.etag;
        return this->last_list;
    } catch (const core::invalid_argument& error) {
        throw core::unavailable(error.what());
    }
}

} // namespace rattanmount::external
