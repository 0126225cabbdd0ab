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

/// One TCP connection that carries HTTP exchanges one after the other and never blocks.
///
/// begin() an exchange, then call proceed() whenever the socket is ready, until there is an answer. After any
/// fate but `answered`, and where keep_alive is false, it must not be used again. Owned by an
/// http_multiplexer; its thread only.
class http_channel {
public:
    /// Begins to connect.
    /// @param peer the server; its path is not used.
    /// @param counters where traffic is counted; must outlive the channel.
    /// @throws Poco::Exception where that fails at once.
    http_channel(const core::endpoint& peer, traffic_counters& counters);

    /// Begins an exchange; sends what can be sent now.
    /// @param bytes the request, encoded.
    /// @param now the time.
    /// @return the fate, where it is known already.
    [[nodiscard]] std::optional<http_answer> begin(std::string bytes, core::steady_time now);

    /// Goes on with the exchange as far as the socket allows.
    /// @param now the time.
    /// @return the fate, once it is known.
    [[nodiscard]] std::optional<http_answer> proceed(core::steady_time now);

    /// Ends the exchange since its time is over.
    /// @return its fate.
    [[nodiscard]] http_answer give_up() const;

    /// @return whether it waits for room to send, or for the connection to be made.
    [[nodiscard]] bool wants_to_send() const { return this->sent < this->request.size(); }

    /// @return what to poll.
    [[nodiscard]] const Poco::Net::StreamSocket& socket() const { return this->stream; }

    /// @return whether it carried an exchange before the last one.
    [[nodiscard]] bool reused() const { return this->exchanges > 1; }

    /// @return when it last proved to work: when it was connected or had its last whole answer.
    [[nodiscard]] core::steady_time last_good() const { return this->proved_at; }

    /// @return when the last exchange began.
    [[nodiscard]] core::steady_time last_begin() const { return this->begun_at; }

private:
    [[nodiscard]] http_answer failure(const std::string& reason, bool timed_out) const;
    [[nodiscard]] bool connected(core::steady_time now);
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
    std::size_t head_bytes = 0;  ///< Of `received`, once the head is whole.
    std::size_t body_bytes = 0;  ///< As the head states.
    std::size_t head_search = 0; ///< No end of the head before this byte of `received`.
    std::uint64_t exchanges = 0;
    core::steady_time proved_at;
    core::steady_time begun_at;
};

} // namespace rattanmount::external
