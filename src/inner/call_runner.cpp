#include "inner/call_runner.h"

#include "core/errors.h"

#include <utility>

namespace rattanmount::inner {

namespace {

[[noreturn]] void throw_peer_error(const gen::call_error& error) {
    switch (error.kind) {
    case gen::error_kind::invalid_argument:
        throw core::invalid_argument(error.reason);
    case gen::error_kind::unavailable:
        throw core::unavailable(error.reason);
    default:
        throw core::outcome_unknown(error.reason);
    }
}

/// Returns whether a call over a reused connection is tried again after an attempt that ended like this.
bool may_try_again(attempt_outcome outcome, retry_policy policy) {
    switch (outcome) {
    case attempt_outcome::not_sent:
        return true;
    case attempt_outcome::broken:
        return policy != retry_policy::no_retry;
    case attempt_outcome::timed_out:
        return policy == retry_policy::retry_if_silent;
    case attempt_outcome::answered:
    case attempt_outcome::refused:
        break;
    }
    return false;
}

[[noreturn]] void throw_failure(const attempt_result& result, bool sent_before, const core::endpoint& peer) {
    const auto reason = peer.text() + ": " + result.reason;
    const bool may_have_run =
        result.outcome == attempt_outcome::broken || result.outcome == attempt_outcome::timed_out;
    if (sent_before || may_have_run) {
        throw core::outcome_unknown(reason);
    }
    throw core::unavailable(reason);
}

} // namespace

call_runner::call_runner(const connection_pool_options& options)
    : pool(options), peer(options.peer), counters(options.counters) {}

void call_runner::run(const rpc_call& call, retry_policy policy, core::milliseconds limit) {
    this->counters->calls++;
    const auto started_at = std::chrono::steady_clock::now();
    const auto deadline = started_at + limit;
    const bool ends_silence = policy == retry_policy::retry_if_silent;
    bool reused = false;
    auto result = this->attempt(call, deadline, ends_silence ? started_at + limit / 2 : deadline, reused);
    bool sent_before = false;
    if (reused && may_try_again(result.outcome, policy)) {
        sent_before = result.outcome != attempt_outcome::not_sent;
        this->pool.close_idle();
        result = this->attempt_again(call, deadline, sent_before);
    }
    if (result.outcome == attempt_outcome::answered) {
        return;
    }
    this->counters->failed_calls++;
    throw_failure(result, sent_before, this->peer);
}

attempt_result call_runner::attempt_again(const rpc_call& call, core::steady_time deadline,
                                          bool sent_before) {
    bool reused = false;
    try {
        return this->attempt(call, deadline, deadline, reused);
    } catch (const core::unavailable& error) {
        if (sent_before) {
            throw core::outcome_unknown(error.what());
        }
        throw;
    }
}

attempt_result call_runner::attempt(const rpc_call& call, core::steady_time deadline,
                                    core::steady_time reused_deadline, bool& reused) {
    std::unique_ptr<peer_connection> connection;
    try {
        connection = this->pool.take(deadline);
    } catch (const core::unavailable& error) {
        return {.outcome = attempt_outcome::not_sent, .reason = error.what()};
    }
    reused = connection->reused();
    attempt_result result;
    try {
        result = connection->attempt(call, reused ? reused_deadline : deadline);
    } catch (const gen::call_error& error) {
        this->pool.give_back(std::move(connection));
        this->counters->failed_calls++;
        throw_peer_error(error);
    }
    if (result.outcome == attempt_outcome::answered) {
        this->pool.give_back(std::move(connection));
        return result;
    }
    this->pool.discard(std::move(connection));
    if (result.outcome == attempt_outcome::timed_out) {
        this->pool.close_idle();
    }
    return result;
}

} // namespace rattanmount::inner
