#include "external/http_caller.h"

#include "core/errors.h"

#include <Poco/URI.h>

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
    ++this->traffic.calls;
    if (this->correlated && message.correlation.empty()) {
        message.correlation = std::to_string(++this->last_number);
    }
    try {
        auto connection = this->pool.acquire(peer, deadline);
        auto answer = connection->exchange(message, deadline);
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
