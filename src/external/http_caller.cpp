#include "external/http_caller.h"

#include "core/errors.h"

#include <Poco/URI.h>

#include <algorithm>
#include <utility>

namespace rattanmount::external {

std::string percent_encode(const std::string& text) {
    std::string encoded;
    Poco::URI::encode(text, "!?#/'\",;:$&()[]*+=@", encoded);
    return encoded;
}

http_caller::http_caller(connection_pool_options options, bool correlated)
    : correlated(correlated), pool(options, this->traffic) {}

http_answer http_caller::call(const core::endpoint& peer, http_message message, core::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    return this->exchange(peer, std::move(message), deadline, deadline);
}

http_answer http_caller::call_repeatable(const core::endpoint& peer, http_message message,
                                         http_message repeat, repeatable_call_limits limits) {
    const auto started_at = std::chrono::steady_clock::now();
    const auto deadline = started_at + limits.timeout;
    auto answer = this->exchange(peer, std::move(message), deadline, started_at + limits.silence);
    const bool silent =
        answer.outcome == exchange_outcome::timed_out && std::chrono::steady_clock::now() < deadline;
    if (!silent) {
        return answer;
    }
    // The pool has closed the other connections that are as old, so this one is new or known to work.
    return this->exchange(peer, std::move(repeat), deadline, deadline);
}

http_answer http_caller::exchange(const core::endpoint& peer, http_message message,
                                  core::steady_time deadline, core::steady_time silence_deadline) {
    ++this->traffic.calls;
    if (this->correlated && message.correlation.empty()) {
        message.correlation = std::to_string(++this->last_number);
    }
    try {
        auto connection = this->pool.acquire(peer, deadline);
        auto answer = connection->exchange(message, deadline, silence_deadline);
        this->pool.release(peer, std::move(connection), answer);
        if (answer.outcome != exchange_outcome::answered) {
            ++this->traffic.failures;
        }
        return answer;
    } catch (const core::unavailable& error) {
        ++this->traffic.failures;
        return http_answer{.outcome = exchange_outcome::not_sent, .reason = error.what()};
    }
}

} // namespace rattanmount::external
