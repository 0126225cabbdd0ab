#include "external/http_log_client.h"

#include "core/errors.h"
#include "external/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanmount::external {

namespace {

constexpr std::uint16_t status_ok = 200;

append_reply append_reply_of(const http_answer& answer) {
    if (answer.outcome == exchange_outcome::not_sent) {
        return {.outcome = append_outcome::not_stored, .reason = answer.reason};
    }
    if (answer.refused()) {
        return {.outcome = append_outcome::not_stored, .reason = answer.body};
    }
    if (answer.outcome != exchange_outcome::answered) {
        return {.outcome = append_outcome::unknown, .reason = answer.reason};
    }
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != status_ok || !json.is_object() || !json.contains("offset") ||
        !json["offset"].is_number_unsigned()) {
        return {.outcome = append_outcome::unknown,
                .reason = "invalid answer to an append: status " + std::to_string(answer.status)};
    }
    return {.outcome = append_outcome::stored,
            .offset = core::log_offset{json["offset"].get<std::uint64_t>()}};
}

read_reply decode_read(const std::string& body) {
    const auto json = nlohmann::json::parse(body);
    read_reply reply{.available = true,
                     .first = core::log_offset{json.at("first").get<std::uint64_t>()},
                     .next = core::log_offset{json.at("next").get<std::uint64_t>()}};
    for (const auto& entry : json.at("entries")) {
        reply.entries.push_back({.offset = core::log_offset{entry.at("offset").get<std::uint64_t>()},
                                 .bytes = base64_decode(entry.at("data").get_ref<const std::string&>())});
    }
    return reply;
}

bool is_contiguous(const read_reply& reply, core::log_offset from) {
    auto expected = std::max(from, reply.first);
    for (const auto& entry : reply.entries) {
        if (entry.offset != expected || entry.offset >= reply.next) {
            return false;
        }
        expected = expected.next();
    }
    return reply.first <= reply.next;
}

read_reply unavailable(const std::string& reason) {
    return read_reply{.available = false, .reason = reason};
}

} // namespace

http_log_client::http_log_client(http_log_client_options options)
    : options(std::move(options)), caller(this->options.connections) {}

log_service http_log_client::hooks() {
    return log_service{
        .append = [this](const core::stream_id& stream, const std::string& bytes,
                         core::milliseconds timeout) { return this->append(stream, bytes, timeout); },
        .read = [this](const core::stream_id& stream, core::log_offset from, std::size_t max_bytes,
                       core::milliseconds timeout) { return this->read(stream, from, max_bytes, timeout); }};
}

append_reply http_log_client::append(const core::stream_id& stream, const std::string& bytes,
                                     core::milliseconds timeout) {
    return append_reply_of(
        this->caller.call(this->options.address,
                          {.method = "POST", .target = this->target_of(stream), .body = bytes}, timeout));
}

read_reply http_log_client::read(const core::stream_id& stream, core::log_offset from, std::size_t max_bytes,
                                 core::milliseconds timeout) {
    const auto target = this->target_of(stream) + "?from=" + std::to_string(from.value()) +
                        "&max=" + std::to_string(max_bytes);
    const auto answer =
        this->caller.call(this->options.address, {.method = "GET", .target = target}, timeout);
    if (answer.outcome != exchange_outcome::answered) {
        return unavailable(answer.reason);
    }
    if (answer.status != status_ok) {
        return unavailable("log service answered with status " + std::to_string(answer.status) + ": " +
                           answer.body);
    }
    try {
        auto reply = decode_read(answer.body);
        return is_contiguous(reply, from)
                   ? reply
                   : unavailable("invalid answer to a read: the entries are not contiguous");
    } catch (const nlohmann::json::exception& error) {
        return unavailable(std::string{"invalid answer to a read: "} + error.what());
    } catch (const core::invalid_argument& error) {
        return unavailable(error.what());
    }
}

std::string http_log_client::target_of(const core::stream_id& stream) const {
    return this->options.address.path + "/streams/" + percent_encode(stream.value());
}

} // namespace rattanmount::external
