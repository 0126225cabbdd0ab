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

/// One TCP connection that carries HTTP exchanges one after the other, each under a total deadline.
///
/// It builds on Poco's session and messages but not on Poco's client session, which connects again and
/// sends again by itself where a kept connection proves dead; here nothing is ever sent twice.
/// Owned by the connection pool or by the call that uses it; one thread at a time.
class http_connection : private Poco::Net::HTTPSession {
public:
    /// Connects.
    /// @param peer the server; its path is not used.
    /// @param deadline when to give up.
    /// @param counters where traffic is counted; must outlive the connection.
    /// @throws core::unavailable where no connection is made; nothing was sent.
    http_connection(const core::endpoint& peer, core::steady_time deadline, traffic_counters& counters);

    /// Sends a request and takes its whole answer. After any fate but `answered`, and where keep_alive is
    /// false, the connection must not be used again.
    /// @param message the request.
    /// @param deadline when to give up.
    /// @return the answer or why there is none; throws nothing on failures of the network.
    [[nodiscard]] http_answer exchange(const http_message& message, core::steady_time deadline);

    /// @return whether the connection looks usable: no end of stream and no stray bytes wait on it.
    [[nodiscard]] bool usable();

    /// @return whether it carried an exchange before.
    [[nodiscard]] bool reused() const { return this->exchanges > 1; }

    /// @return when it last proved to work: when it was connected or had its last whole answer.
    [[nodiscard]] core::steady_time last_good() const { return this->proved_at; }

    /// @return when the last request was sent on it.
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
    core::steady_time proved_at;
    core::steady_time sent_at;
};

} // namespace rattanmount::external
