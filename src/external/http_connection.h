#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "external/deadline_socket.h"
#include "external/http_message.h"
#include "external/traffic_counters.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPSession.h>

#include <string>

namespace rattanmount::external {

/// A TCP connection that carries one blocking HTTP exchange at a time, each with a total deadline.
///
/// Uses Poco's HTTPSession and messages but not Poco's HTTPClientSession, which reconnects and resends the
/// request on its own if a kept-alive connection turns out to be dead. This class never sends a request
/// twice. Owned by the connection pool or by the call that uses it; not thread-safe.
class http_connection : private Poco::Net::HTTPSession {
public:
    /// Connects.
    /// @param peer the server; its path is not used.
    /// @param deadline when connecting times out.
    /// @param counters receive the traffic counts; must outlive the connection.
    /// @throws core::unavailable if the connection cannot be established; nothing was sent.
    http_connection(const core::endpoint& peer, core::steady_time deadline, traffic_counters& counters);

    /// Sends a request and receives the complete answer. After any outcome other than `answered`, or if
    /// keep_alive is false, the connection must not be used again.
    /// @param message the request.
    /// @param deadline when the exchange times out.
    /// @param silence_deadline when it times out, if earlier, on a connection that has carried an exchange
    /// before and on which no byte of the answer has arrived.
    /// @return the answer, or the reason why there is none. Network failures are returned, not thrown.
    [[nodiscard]] http_answer exchange(const http_message& message, core::steady_time deadline,
                                       core::steady_time silence_deadline = core::steady_time::max());

    /// @return whether the peer has neither closed the idle connection nor sent unsolicited bytes.
    [[nodiscard]] bool is_usable();

    /// @return whether it carried an exchange before the current one.
    [[nodiscard]] bool reused() const { return this->exchanges > 1; }

    /// @return when the connection was established or last received a complete answer, whichever is later.
    [[nodiscard]] core::steady_time last_verified() const { return this->verified_at; }

    /// @return when the last exchange started to send its request.
    [[nodiscard]] core::steady_time last_send() const { return this->sent_at; }

private:
    http_connection(const core::endpoint& peer, core::steady_time deadline,
                    const Poco::AutoPtr<deadline_socket>& impl, traffic_counters& counters);

    void connect_to(const core::endpoint& peer, core::steady_time deadline);
    [[nodiscard]] http_answer receive_answer(const http_message& message);
    [[nodiscard]] std::string receive_body(std::size_t length);
    [[nodiscard]] http_answer failure(const std::string& reason, bool timed_out) const;

    std::string host;
    Poco::AutoPtr<deadline_socket> impl;
    std::uint64_t exchanges = 0;
    core::steady_time verified_at;
    core::steady_time sent_at;
};

} // namespace rattanmount::external
