#include "external/http_executor_client.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::external {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_internal_error = 500;
constexpr std::uint16_t status_gateway_timeout = 504;

call_verdict verdict_of(const http_answer& answer) {
    switch (answer.outcome) {
    case exchange_outcome::not_sent:
        return call_verdict::not_sent;
    case exchange_outcome::timed_out:
        return call_verdict::timed_out;
    case exchange_outcome::broken:
        return call_verdict::broken;
    case exchange_outcome::answered:
        break;
    }
    if (answer.status == status_ok) {
        return call_verdict::answered;
    }
    if (answer.refused()) {
        return call_verdict::refused;
    }
    const bool ran = answer.status == status_internal_error || answer.status == status_gateway_timeout;
    return ran ? call_verdict::failed : call_verdict::broken;
}

std::size_t max_idle_connections(const http_executor_client_options& options) {
    const auto half = std::max<std::size_t>(options.max_connections_per_executor / 2, 1);
    return std::min(options.max_idle_per_executor, half);
}

} // namespace

http_executor_client::http_executor_client(http_executor_client_options options)
    : caller({.max_connections = options.max_connections_per_executor,
              .max_idle = max_idle_connections(options),
              .idle_limit = options.idle_limit,
              .linger = options.linger,
              .close_time = options.close_time,
              .max_wait = options.max_wait}) {}

executor_service http_executor_client::hooks() {
    return executor_service{.call = [this](const executor_request& request) { return this->call(request); }};
}

std::size_t http_executor_client::connections_to(const core::endpoint& executor) {
    return this->caller.connections().used(executor);
}

executor_reply http_executor_client::call(const executor_request& request) {
    assert(!request.correlation.empty() && request.limit.count() > 0);
    auto answer = this->caller.call(request.address,
                                    {.method = "POST",
                                     .target = request.address.path + "/run",
                                     .correlation = percent_encode(request.correlation),
                                     .headers = {{.name = request_id_header,
                                                  .value = percent_encode(request.id.team.value()) + "/" +
                                                           percent_encode(request.id.key.value())}},
                                     .body = request.body,
                                     .send_limit = true},
                                    request.limit);
    const auto verdict = verdict_of(answer);
    if (verdict == call_verdict::answered) {
        return {.verdict = verdict, .body = std::move(answer.body)};
    }
    return {.verdict = verdict, .reason = answer.reason.empty() ? answer.body : answer.reason};
}

} // namespace rattanmount::external
