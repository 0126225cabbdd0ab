#include "inner/peer_connection.h"

#include "inner/framing.h"

#include <thrift/TApplicationException.h>
#include <thrift/protocol/TCompactProtocol.h>

#include <algorithm>
#include <utility>

namespace rattanmount::inner {

using apache::thrift::TApplicationException;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TTransportException;

namespace {

/// Subtracted from the time limit passed to the peer, so that its answer arrives before this side times out.
constexpr core::milliseconds answer_margin{20};
constexpr int answer_margin_divisor = 4; ///< The margin is at most 1/4 of the remaining time.

/// @return the time limit for the peer, for a call that times out here at the deadline.
core::milliseconds peer_limit(core::steady_time deadline) {
    const auto left = std::chrono::floor<core::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto margin = std::min(answer_margin, left / answer_margin_divisor);
    return std::max(core::milliseconds{0}, left - margin);
}

} // namespace

peer_connection::peer_connection(const core::endpoint& peer,
                                 const std::shared_ptr<apache::thrift::TConfiguration>& limits,
                                 std::shared_ptr<traffic_counters> counters)
    : socket(std::make_shared<deadline_socket>(peer, limits, std::move(counters))),
      client(std::make_shared<TCompactProtocol>(make_framed(this->socket, limits))) {}

bool peer_connection::reused() const {
    return this->answered_before;
}

bool peer_connection::is_stale() {
    return !this->socket->isOpen() || this->socket->is_stale();
}

attempt_result peer_connection::attempt(const rpc_call& call, core::steady_time deadline) {
    this->socket->set_deadline(deadline);
    try {
        if (!this->socket->isOpen()) {
            this->socket->open();
        }
        call.send(this->client, peer_limit(deadline));
    } catch (const TException& error) {
        this->socket->close();
        return {.outcome = attempt_outcome::not_sent, .reason = error.what()};
    }
    return this->receive(call);
}

attempt_result peer_connection::receive(const rpc_call& call) {
    try {
        call.receive(this->client);
        this->answered_before = true;
        return {};
    } catch (const gen::call_error&) {
        this->answered_before = true;
        throw;
    } catch (const TApplicationException& error) {
        this->socket->close();
        const bool unknown_call = error.getType() == TApplicationException::UNKNOWN_METHOD;
        return {.outcome = unknown_call ? attempt_outcome::refused : attempt_outcome::broken,
                .reason = error.what()};
    } catch (const TTransportException& error) {
        this->socket->close();
        const bool timeout = error.getType() == TTransportException::TIMED_OUT;
        return {.outcome = timeout ? attempt_outcome::timed_out : attempt_outcome::broken,
                .reason = error.what()};
    } catch (const std::exception& error) {
        this->socket->close();
        return {.outcome = attempt_outcome::broken, .reason = error.what()};
    }
}

} // namespace rattanmount::inner
