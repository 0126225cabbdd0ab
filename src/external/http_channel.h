#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "external/http_message.h"
#include "external/traffic_counters.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace rattanmount::external {

/// A non-blocking TCP connection that carries one HTTP exchange at a time.
///
/// Call begin(), then proceed() whenever the socket is ready, until it returns an answer. After any outcome
/// other than `answered`, or if keep_alive is false, the channel must not be used again. Owned by an
/// http_multiplexer; used only on its thread.
class http_channel {
public:
    /// Starts to connect.
    /// @param peer the server; its path is not used.
    /// @param counters receive the traffic counts; must outlive the channel.
    /// @throws Poco::Exception if connecting fails immediately.
    http_channel(const core::endpoint& peer, traffic_counters& counters);

    /// Starts an exchange and sends as much as possible without blocking.
    /// @param bytes the encoded request.
    /// @param now the current time.
    /// @return the result if the exchange has already failed, otherwise empty.
    [[nodiscard]] std::optional<http_answer> begin(std::string bytes, core::steady_time now);

    /// Continues the exchange as far as possible without blocking.
    /// @param now the current time.
    /// @return the result once the exchange has ended, otherwise empty.
    [[nodiscard]] std::optional<http_answer> proceed(core::steady_time now);

    /// Returns the result of an exchange whose deadline has passed.
    [[nodiscard]] http_answer give_up() const;

    /// @return whether it waits to send more of the request or for the connection to be established.
    [[nodiscard]] bool wants_to_send() const { return this->sent < this->request.size(); }

    /// @return the socket to poll.
    [[nodiscard]] const Poco::Net::StreamSocket& socket() const { return this->stream; }

    /// @return whether it carried an exchange before the current one.
    [[nodiscard]] bool reused() const { return this->exchanges > 1; }

    /// @return when the connection was established or last received a complete answer, whichever is later.
    [[nodiscard]] core::steady_time last_verified() const { return this->verified_at; }

    /// @return when the last exchange started.
    [[nodiscard]] core::steady_time last_begin() const { return this->begun_at; }

private:
    [[nodiscard]] http_answer failure(const std::string& reason, bool timed_out) const;
    [[nodiscard]] bool finish_connecting(core::steady_time now);
    void send_more();
    [[nodiscard]] bool receive_more();
    [[nodiscard]] std::optional<http_answer> whole_answer(core::steady_time now);
    [[nodiscard]] bool read_head();

    Poco::Net::StreamSocket stream;
    traffic_counters& counters;
    bool connecting = true;
    std::string request;
    std::size_t sent = 0;
    std::string received;
    std::optional<Poco::Net::HTTPResponse> head;
    std::size_t head_bytes = 0;         ///< Length of the head within `received`, once the head is complete.
    std::size_t body_bytes = 0;         ///< Content length that the head states.
    std::size_t head_search_offset = 0; ///< The end of the head is not before this offset in `received`.
    std::uint64_t exchanges = 0;
    core::steady_time verified_at;
    core::steady_time begun_at;
};

} // namespace rattanmount::external
