#include "external/http_connection.h"

#include "core/errors.h"
#include "external/http_encoding.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <utility>

namespace rattanmount::external {

namespace {

bool is_timeout(const Poco::Exception* error) {
    return dynamic_cast<const Poco::TimeoutException*>(error) != nullptr;
}

Poco::Net::StreamSocket stream_of(const Poco::AutoPtr<deadline_socket>& impl) {
    Poco::AutoPtr<deadline_socket> shared{impl};
    return Poco::Net::StreamSocket{shared.duplicate()};
}

} // namespace

http_connection::http_connection(const core::endpoint& peer, core::steady_time deadline,
                                 traffic_counters& counters)
    : http_connection(peer, deadline, Poco::makeAuto<deadline_socket>(counters), counters) {}

http_connection::http_connection(const core::endpoint& peer, core::steady_time deadline,
                                 const Poco::AutoPtr<deadline_socket>& impl, traffic_counters& counters)
    : HTTPSession(stream_of(impl)), host(peer.address + ":" + std::to_string(peer.port)), impl(impl) {
    this->connect_to(peer, deadline);
    ++counters.connections;
    this->verified_at = std::chrono::steady_clock::now();
}

void http_connection::connect_to(const core::endpoint& peer, core::steady_time deadline) {
    try {
        const Poco::Timespan left{std::max<std::int64_t>(time_left(deadline).count(), 1)};
        this->impl->connect(Poco::Net::SocketAddress{peer.address, peer.port}, left);
        this->impl->setBlocking(false);
        this->impl->setNoDelay(true);
    } catch (const Poco::Exception& error) {
        throw core::unavailable("no connection to " + this->host + ": " + error.displayText());
    }
}

http_answer http_connection::exchange(const http_message& message, core::steady_time deadline,
                                      core::steady_time silence_deadline) {
    ++this->exchanges;
    this->impl->begin(deadline, this->reused() ? silence_deadline : deadline);
    this->clearException();
    this->sent_at = std::chrono::steady_clock::now();
    try {
        const auto left = std::chrono::ceil<core::milliseconds>(time_left(deadline));
        const auto bytes = encode_request(message, this->host, left);
        HTTPSession::write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        return this->receive_answer(message);
    } catch (const Poco::Exception& error) {
        const auto* cause = this->networkException() == nullptr ? &error : this->networkException();
        return this->failure(cause->displayText(), is_timeout(cause));
    }
}

bool http_connection::is_usable() {
    try {
        return this->buffered() == 0 && !this->impl->poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

http_answer http_connection::receive_answer(const http_message& message) {
    Poco::Net::HTTPResponse head;
    Poco::Net::HTTPHeaderInputStream stream{*this};
    head.read(stream);
    const auto length = body_length(head);
    if (!length) {
        return this->failure("the answer has no content length that can be taken", false);
    }
    auto body = this->receive_body(*length);
    if (!message.correlation.empty() && head.get(correlation_header, "") != message.correlation) {
        return this->failure("the answer belongs to another call", false);
    }
    this->verified_at = std::chrono::steady_clock::now();
    return make_answer(head, std::move(body));
}

std::string http_connection::receive_body(std::size_t length) {
    std::string body(length, '\0');
    std::size_t have = 0;
    while (have < length) {
        const int taken = HTTPSession::read(body.data() + have, static_cast<std::streamsize>(length - have));
        if (taken <= 0) {
            throw Poco::Net::MessageException("the answer was cut short");
        }
        have += static_cast<std::size_t>(taken);
    }
    return body;
}

http_answer http_connection::failure(const std::string& reason, bool timed_out) const {
    if (this->impl->sent() == 0) {
        return http_answer{.outcome = exchange_outcome::not_sent, .reason = reason};
    }
    return http_answer{.outcome = timed_out ? exchange_outcome::timed_out : exchange_outcome::broken,
                       .reason = reason};
}

} // namespace rattanmount::external
