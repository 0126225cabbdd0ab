#include "front/api_client.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "front/http_message.h"
#include "front/json_codec.h"

#include <Poco/URI.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace rattanmount::front {

namespace {

/// Subtracted from the time limit that is sent to the host, so that its response arrives before the client
/// times out.
constexpr core::milliseconds response_margin{50};
constexpr int max_margin_divisor = 4; ///< The margin is at most 1/4 of the limit.

/// @param limit how long the client waits for the host.
/// @return the time limit to send to the host.
core::milliseconds host_limit(core::milliseconds limit) {
    const auto margin = std::min(response_margin, limit / max_margin_divisor);
    return std::max(core::milliseconds{1}, limit - margin);
}

std::string job_path(const core::job_id& id) {
    std::string path = "/v1/jobs/";
    Poco::URI::encode(id.team.value(), "/?#", path);
    path += '/';
    Poco::URI::encode(id.key.value(), "/?#", path);
    return path;
}

bool has_status(const incoming_answer& answer, http_status status) {
    return answer.status == static_cast<int>(status);
}

/// @return the reason in the body of an error response, or the body itself if it cannot be decoded.
std::string reason_of(const incoming_answer& answer) {
    try {
        return decode_job_answer(answer.body).reason;
    } catch (const core::invalid_argument&) {
        return answer.body;
    }
}

/// Throws if the status reports an invalid request, or a request that the host did not receive in time,
/// rather than a result of the call.
void check_status(const incoming_answer& answer) {
    if (has_status(answer, http_status::bad_request) || has_status(answer, http_status::too_large) ||
        has_status(answer, http_status::method_not_allowed)) {
        throw core::invalid_argument(reason_of(answer));
    }
    if (has_status(answer, http_status::request_timeout)) {
        throw core::unavailable(reason_of(answer));
    }
}

/// Decodes a response body. The outcome of the request is unknown if the body cannot be decoded.
template <typename Decode>
auto decode_answer(const incoming_answer& answer, const Decode& decode) {
    try {
        return decode(answer.body);
    } catch (const core::invalid_argument& error) {
        throw core::outcome_unknown(std::string{"the host's response is not valid: "} + error.what());
    }
}

} // namespace

api_client::api_client(api_client_options options) : options(std::move(options)) {
    assert(!this->options.hosts.empty());
}

core::job_answer api_client::submit(const core::job_spec& spec, core::milliseconds limit) const {
    return decode_answer(this->call("POST", "/v1/jobs", encode(spec), limit), decode_job_answer);
}

core::job_answer api_client::status(const core::job_id& id, core::milliseconds limit) const {
    return decode_answer(this->call("GET", job_path(id), "", limit), decode_job_answer);
}

core::job_answer api_client::cancel(const core::job_id& id, core::milliseconds limit) const {
    return decode_answer(this->call("DELETE", job_path(id), "", limit), decode_job_answer);
}

std::vector<std::string> api_client::explain(const core::job_id& id, core::milliseconds limit) const {
    const auto body = this->get(job_path(id) + "/explanation", limit);
    return decode_answer({.body = body}, decode_explanation);
}

core::quick_answer api_client::quick(const core::quick_request& request, core::milliseconds limit) const {
    const auto make_request = [&request](core::milliseconds host_limit) -> outgoing_request {
        auto bounded = request;
        bounded.limit = host_limit;
        return {.method = "POST", .target = "/v1/quick", .body = encode(bounded)};
    };
    const auto total_limit = request.limit.count() > 0 ? request.limit : limit;
    return decode_answer(this->call(make_request, total_limit, retry_policy::unsent_only),
                         decode_quick_answer);
}

core::note_answer api_client::apply_note(const std::string& note, core::milliseconds limit) const {
    const auto answer = this->call("POST", "/v1/notes", note, limit);
    if (has_status(answer, http_status::service_unavailable)) {
        throw core::unavailable(reason_of(answer));
    }
    return decode_answer(answer, decode_note_answer);
}

std::string api_client::show_notes(core::milliseconds limit) const {
    return this->get("/v1/notes", limit);
}

std::vector<core::host_status> api_client::hosts(core::milliseconds limit) const {
    const auto body = this->get("/v1/hosts", limit);
    return decode_answer({.body = body}, decode_hosts);
}

std::string api_client::timeline(core::milliseconds limit) const {
    return this->get("/v1/timeline", limit);
}

std::string api_client::metrics(core::milliseconds limit) const {
    return this->get("/metrics", limit);
}

bool api_client::ready(core::milliseconds limit) const {
    return has_status(this->call("GET", "/ready", "", limit), http_status::ok);
}

incoming_answer api_client::call(const request_maker& make_request, core::milliseconds limit,
                                 retry_policy policy) const {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::optional<std::string> unknown_reason; ///< Set if a request was sent and its outcome is unknown.
    std::string unavailable_reason = "the call timed out";
    auto hosts_remaining = static_cast<std::int64_t>(this->options.hosts.size());
    for (const auto& host : this->options.hosts) {
        const auto remaining =
            std::chrono::floor<core::milliseconds>(deadline - std::chrono::steady_clock::now());
        const auto host_share = std::max(remaining / hosts_remaining--, core::milliseconds{1});
        const call_limits limits{.connect = std::min(this->options.connect_timeout, host_share),
                                 .total = policy == retry_policy::always ? host_share : remaining,
                                 .max_answer_bytes = this->options.max_answer_bytes};
        try {
            auto answer = call_http(host, make_request(host_limit(limits.total)), limits);
            check_status(answer);
            return answer;
        } catch (const core::unavailable& error) {
            unavailable_reason = error.what();
        } catch (const core::outcome_unknown& error) {
            unknown_reason = error.what();
            if (policy == retry_policy::unsent_only) {
                break;
            }
        }
    }
    if (unknown_reason) {
        throw core::outcome_unknown(*unknown_reason);
    }
    throw core::unavailable(unavailable_reason);
}

incoming_answer api_client::call(const std::string& method, const std::string& path, const std::string& body,
                                 core::milliseconds limit) const {
    const auto make_request = [&](core::milliseconds host_limit) -> outgoing_request {
        return {
            .method = method, .target = path + "?limit=" + core::format_duration(host_limit), .body = body};
    };
    return this->call(make_request, limit);
}

std::string api_client::get(const std::string& path, core::milliseconds limit) const {
    auto answer = this->call("GET", path, "", limit);
    if (!has_status(answer, http_status::ok)) {
        throw core::unavailable("unexpected HTTP status " + std::to_string(answer.status) + ": " +
                                reason_of(answer));
    }
    return std::move(answer.body);
}

} // namespace rattanmount::front
