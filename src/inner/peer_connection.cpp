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

/// Kept back from the peer's time limit, so that its answer is here before this side gives up.
constexpr core::milliseconds answer_allowance{20};
constexpr int largest_allowance_divisor = 4; ///< The allowance is at most this part of what is left.

/// @return how long the peer may take for a call that ends here at the deadline.
core::milliseconds peer_limit(core::steady_time deadline) {
    const auto left = std::chrono::floor<core::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto allowance = std::min(answer_allowance, left / largest_allowance_divisor);
    return std::max(core::milliseconds{0}, left - allowance);
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

bool peer_connection::stale() {
    return !this->socket->isOpen() || this->socket->stale();
}

attempt_result peer_connection::attempt(const call_halves& call, core::steady_time deadline) {
    this->socket->set_deadline(deadline);
    try {
        if (!this->socket->isOpen()) {
            this->socket->open();
        }
        call.send(this->client, peer_limit(deadline));
    } catch (const TException& error) {
        this->socket->close();
        return {.fate = attempt_fate::not_sent, .reason = error.what()};
    }
    return this->receive(call);
}

attempt_result peer_connection::receive(const call_halves& call) {
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
        return {.fate = unknown_call ? attempt_fate::refused : attempt_fate::broken, .reason = error.what()};
    } catch (const TTransportException& error) {
        this->socket->close();
        const bool timeout = error.getType() == TTransportException::TIMED_OUT;
        return {.fate = timeout ? attempt_fate::timed_out : attempt_fate::broken, .reason = error.what()};
    } catch (const std::exception& error) {
        this->socket->close();
        return {.fate = attempt_fate::broken, .reason = error.what()};
    }
}

} // namespace rattanmount::inner
