#include "external/http_channel.h"

#include "external/http_encoding.h"
#include "external/nonblocking_send.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <string_view>
#include <utility>

namespace rattanmount::external {

namespace {

constexpr std::size_t read_bytes = 16384; ///< Size of one read from the socket.
constexpr std::size_t max_head_bytes = 65536;
constexpr std::string_view head_end = "\r\n\r\n";

} // namespace

http_channel::http_channel(const core::endpoint& peer, traffic_counters& counters) : counters(counters) {
    this->stream.connectNB(Poco::Net::SocketAddress{peer.address, peer.port});
}

std::optional<http_answer> http_channel::begin(std::string bytes, core::steady_time now) {
    this->request = std::move(bytes);
    this->sent = 0;
    this->received.clear();
    this->head.reset();
    this->head_search_offset = 0;
    this->begun_at = now;
    ++this->exchanges;
    if (this->connecting) {
        return std::nullopt;
    }
    try {
        this->send_more();
        return std::nullopt;
    } catch (const Poco::Exception& error) {
        return this->failure(error.displayText(), false);
    }
}

std::optional<http_answer> http_channel::proceed(core::steady_time now) {
    try {
        if (!this->finish_connecting(now)) {
            return std::nullopt;
        }
        if (this->wants_to_send()) {
            this->send_more();
            return std::nullopt;
        }
        if (!this->receive_more()) {
            return this->failure("the answer was cut short", false);
        }
        return this->whole_answer(now);
    } catch (const Poco::Exception& error) {
        return this->failure(error.displayText(), false);
    }
}

http_answer http_channel::give_up() const {
    return this->failure("no answer within the time limit", true);
}

http_answer http_channel::failure(const std::string& reason, bool timed_out) const {
    const auto outcome = timed_out ? exchange_outcome::timed_out : exchange_outcome::broken;
    return {.outcome = this->sent == 0 ? exchange_outcome::not_sent : outcome,
            .body = "",
            .etag = "",
            .reason = reason};
}

bool http_channel::finish_connecting(core::steady_time now) {
    if (!this->connecting) {
        return true;
    }
    const int error = this->stream.impl()->socketError();
    if (error != 0) {
        throw Poco::Net::NetException("no connection", error);
    }
    if (!this->stream.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_WRITE)) {
        return false;
    }
    this->stream.setNoDelay(true);
    this->connecting = false;
    this->verified_at = now;
    ++this->counters.connections;
    return true;
}

void http_channel::send_more() {
    while (this->wants_to_send()) {
        const auto taken =
            send_available(this->stream.impl()->sockfd(), std::string_view{this->request}.substr(this->sent));
        if (taken == 0) {
            return;
        }
        this->sent += taken;
        this->counters.bytes_sent += taken;
    }
}

bool http_channel::receive_more() {
    std::array<char, read_bytes> buffer{};
    const int taken = this->stream.impl()->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (taken == 0) {
        return false;
    }
    if (taken > 0) {
        this->received.append(buffer.data(), static_cast<std::size_t>(taken));
        this->counters.bytes_received += static_cast<std::uint64_t>(taken);
    }
    return true;
}

std::optional<http_answer> http_channel::whole_answer(core::steady_time now) {
    if (!this->head && !this->read_head()) {
        return std::nullopt;
    }
    if (this->received.size() < this->head_bytes + this->body_bytes) {
        return std::nullopt;
    }
    auto answer = make_answer(*this->head, this->received.substr(this->head_bytes, this->body_bytes));
    // Surplus bytes would be mistaken for the start of the next answer.
    answer.keep_alive = answer.keep_alive && this->received.size() == this->head_bytes + this->body_bytes;
    this->verified_at = now;
    return answer;
}

bool http_channel::read_head() {
    const auto end = this->received.find(head_end, this->head_search_offset);
    if (end == std::string::npos) {
        if (this->received.size() > max_head_bytes) {
            throw Poco::Net::MessageException("head of the answer is longer than " +
                                              std::to_string(max_head_bytes) + " bytes");
        }
        const auto overlap = head_end.size() - 1;
        this->head_search_offset = this->received.size() > overlap ? this->received.size() - overlap : 0;
        return false;
    }
    this->head_bytes = end + head_end.size();
    Poco::MemoryInputStream bytes{this->received.data(), static_cast<std::streamsize>(this->head_bytes)};
    this->head.emplace();
    this->head->read(bytes);
    const auto length = body_length(*this->head);
    if (!length) {
        throw Poco::Net::MessageException("the answer has no content length that can be taken");
    }
    this->body_bytes = *length;
    return true;
}

} // namespace rattanmount::external
