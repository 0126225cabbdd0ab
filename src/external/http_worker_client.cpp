#include "external/http_worker_client.h"

#include "core/errors.h"
#include "external/worker_codec.h"

namespace rattanmount::external {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_conflict = 409;

start_reply start_reply_of(const http_answer& answer) {
    if (answer.outcome == exchange_outcome::not_sent) {
        return {.verdict = start_verdict::refused, .reason = answer.reason};
    }
    if (answer.outcome != exchange_outcome::answered) {
        return {.verdict = start_verdict::unknown, .reason = answer.reason};
    }
    if (answer.status == status_ok) {
        return {.verdict = start_verdict::started};
    }
    return {.verdict = answer.refused() ? start_verdict::refused : start_verdict::unknown,
            .reason = answer.body};
}

} // namespace

http_worker_client::http_worker_client(http_worker_client_options options) : caller(options.connections) {}

worker_service http_worker_client::hooks() {
    return worker_service{
        .lease = [this](const core::endpoint& worker, const lease_request& request,
                        core::milliseconds timeout) { return this->lease(worker, request, timeout); },
        .start =
            [this](const core::endpoint& worker, core::lease_id lease, const core::attempt_id& attempt,
                   const core::resources& each, const std::string& payload, core::milliseconds timeout) {
                return this->start(worker, lease, attempt, each, payload, timeout);
            },
        .act =
            [this](const core::endpoint& worker, core::lease_id lease, const core::attempt_id& attempt,
                   attempt_action action, core::milliseconds timeout) {
                return this->act(worker, lease, attempt, action, timeout);
            }};
}

lease_reply http_worker_client::lease(const core::endpoint& worker, const lease_request& request,
                                      core::milliseconds timeout) {
    try {
        const auto answer = this->post(worker, "/lease", encode_lease_request(request), timeout);
        if (answer.outcome == exchange_outcome::answered && answer.status == status_ok) {
            return decode_granted_lease(answer.body);
        }
        if (answer.outcome == exchange_outcome::answered && answer.status == status_conflict) {
            return decode_held_lease(answer.body);
        }
    } catch (const core::invalid_argument&) {
        return lease_reply{};
    }
    return lease_reply{};
}

start_reply http_worker_client::start(const core::endpoint& worker, core::lease_id lease,
                                      const core::attempt_id& attempt, const core::resources& each,
                                      const std::string& payload, core::milliseconds timeout) {
    try {
        return start_reply_of(
            this->post(worker, "/start", encode_start(lease, attempt, each, payload), timeout));
    } catch (const core::invalid_argument& error) {
        return {.verdict = start_verdict::refused, .reason = error.what()};
    }
}

start_reply http_worker_client::act(const core::endpoint& worker, core::lease_id lease,
                                    const core::attempt_id& attempt, attempt_action action,
                                    core::milliseconds timeout) {
    try {
        return start_reply_of(this->post(worker, "/act", encode_act(lease, attempt, action), timeout));
    } catch (const core::invalid_argument& error) {
        return {.verdict = start_verdict::refused, .reason = error.what()};
    }
}

http_answer http_worker_client::post(const core::endpoint& worker, const char* call, std::string body,
                                     core::milliseconds timeout) {
    const core::endpoint server{.address = worker.address, .port = worker.port};
    return this->caller.call(
        server, {.method = "POST", .target = worker.path + call, .body = std::move(body)}, timeout);
}

} // namespace rattanmount::external
