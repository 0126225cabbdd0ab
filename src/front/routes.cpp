#include "front/routes.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "front/json_codec.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace rattanmount::front {

namespace {

using core::answer_state;
using core::note_verdict;
using core::outcome;

http_reply unsettled_reply(http_status status, const std::string& reason) {
    return {.status = status, .body = encode_error(answer_state::unsettled, outcome::unknown, reason)};
}

/// A refusal that carries a job status means that the key already belongs to a different request.
http_status submit_status(const core::job_answer& answer) {
    switch (answer.state) {
    case answer_state::accepted:
        return http_status::accepted;
    case answer_state::ended:
        return http_status::ok;
    case answer_state::refused:
        return answer.status ? http_status::conflict : http_status::service_unavailable;
    case answer_state::unsettled:
        break;
    }
    return http_status::gateway_timeout;
}

/// A refusal with the result not_run means that the job does not exist.
http_status lookup_status(const core::job_answer& answer, http_status accepted) {
    switch (answer.state) {
    case answer_state::accepted:
        return accepted;
    case answer_state::ended:
        return http_status::ok;
    case answer_state::refused:
        return answer.result == outcome::not_run ? http_status::not_found : http_status::service_unavailable;
    case answer_state::unsettled:
        break;
    }
    return http_status::gateway_timeout;
}

http_status quick_status(outcome result) {
    switch (result) {
    case outcome::completed:
    case outcome::failed:
        return http_status::ok;
    case outcome::not_run:
        return http_status::service_unavailable;
    case outcome::unknown:
        break;
    }
    return http_status::gateway_timeout;
}

http_status note_status(note_verdict verdict) {
    switch (verdict) {
    case note_verdict::accepted:
        return http_status::ok;
    case note_verdict::pending:
        return http_status::accepted;
    case note_verdict::refused:
        return http_status::conflict;
    case note_verdict::unsettled:
        break;
    }
    return http_status::gateway_timeout;
}

std::vector<std::string> split_path(const std::string& target) {
    try {
        std::vector<std::string> segments;
        Poco::URI{target}.getPathSegments(segments);
        return segments;
    } catch (const Poco::Exception&) {
        throw core::invalid_argument("the request path is not valid");
    }
}

bool matches(const std::vector<std::string>& pattern, const std::vector<std::string>& segments) {
    return std::equal(
        pattern.begin(), pattern.end(), segments.begin(), segments.end(),
        [](const auto& expected, const auto& segment) { return expected == "*" || expected == segment; });
}

core::job_id id_from(const std::vector<std::string>& segments) {
    constexpr std::size_t team_segment = 2;
    constexpr std::size_t key_segment = 3;
    return {.team = core::team_id{segments.at(team_segment)},
            .key = core::request_key{segments.at(key_segment)}};
}

} // namespace

routes::routes(routes_options options) : options(std::move(options)) {
    this->add_job_routes();
    this->add_operator_routes();
}

http_reply routes::handle(const http_request& request) const {
    try {
        return this->find_and_run(request);
    } catch (const core::invalid_argument& error) {
        return refused_reply(http_status::bad_request, error.what());
    } catch (const core::unavailable& error) {
        return refused_reply(http_status::service_unavailable, error.what());
    } catch (const core::outcome_unknown& error) {
        return unsettled_reply(http_status::gateway_timeout, error.what());
    } catch (const std::exception& error) {
        return unsettled_reply(http_status::internal_error, error.what());
    }
}

http_reply routes::handle_overloaded(const http_request& request) const {
    constexpr std::array<std::string_view, 3> monitoring_paths{"/live", "/ready", "/metrics"};
    if (std::find(monitoring_paths.begin(), monitoring_paths.end(), request.target) !=
        monitoring_paths.end()) {
        return this->handle(request);
    }
    return refused_reply(http_status::service_unavailable,
                         "the host is overloaded: too many open connections");
}

void routes::add(const std::string& method, const std::string& pattern,
                 std::function<http_reply(const parsed_request&)> action) {
    this->table.push_back({.method = method, .pattern = split_path(pattern), .action = std::move(action)});
}

void routes::add_job_routes() {
    const auto& calls = this->options.calls;
    this->add("POST", "/v1/jobs", [&calls](const parsed_request& request) -> http_reply {
        const auto answer = calls.submit(decode_job_spec(request.body), request.limit);
        return {.status = submit_status(answer), .body = encode(answer)};
    });
    this->add("GET", "/v1/jobs/*/*", [&calls](const parsed_request& request) -> http_reply {
        const auto answer = calls.status(id_from(request.segments), request.limit);
        return {.status = lookup_status(answer, http_status::ok), .body = encode(answer)};
    });
    this->add("DELETE", "/v1/jobs/*/*", [&calls](const parsed_request& request) -> http_reply {
        const auto answer = calls.cancel(id_from(request.segments), request.limit);
        return {.status = lookup_status(answer, http_status::accepted), .body = encode(answer)};
    });
    this->add("GET", "/v1/jobs/*/*/explanation", [&calls](const parsed_request& request) -> http_reply {
        return {.body = encode_explanation(calls.explain(id_from(request.segments), request.limit))};
    });
    this->add("POST", "/v1/quick", [this](const parsed_request& request) -> http_reply {
        const auto quick = decode_quick_request(request.body);
        if (quick.limit > this->options.max_limit) {
            throw core::invalid_argument("limit: must be at most " +
                                         core::format_duration(this->options.max_limit));
        }
        const auto answer = this->options.calls.quick(quick);
        return {.status = quick_status(answer.result), .body = encode(answer)};
    });
}

void routes::add_operator_routes() {
    const auto& calls = this->options.calls;
    this->add("POST", "/v1/notes", [&calls](const parsed_request& request) -> http_reply {
        check_note_text(request.body);
        const auto answer = calls.apply_note(request.body, request.limit);
        return {.status = note_status(answer.verdict), .body = encode(answer)};
    });
    this->add("GET", "/v1/notes",
              [&calls](const parsed_request&) -> http_reply { return {.body = calls.show_notes()}; });
    this->add("GET", "/v1/hosts",
              [&calls](const parsed_request&) -> http_reply { return {.body = encode(calls.hosts())}; });
    this->add("GET", "/v1/timeline", [&calls](const parsed_request&) -> http_reply {
        return {.content_type = "application/x-ndjson", .body = calls.timeline()};
    });
    this->add("GET", "/metrics", [&calls](const parsed_request&) -> http_reply {
        return {.content_type = "text/plain; version=0.0.4; charset=utf-8", .body = calls.metrics()};
    });
    this->add("GET", "/ready", [&calls](const parsed_request&) -> http_reply {
        if (calls.ready()) {
            return {.body = R"({"ready":true})"};
        }
        return {.status = http_status::service_unavailable, .body = R"({"ready":false})"};
    });
    this->add("GET", "/live",
              [](const parsed_request&) -> http_reply { return {.body = R"({"live":true})"}; });
}

http_reply routes::find_and_run(const http_request& request) const {
    const auto segments = split_path(request.target);
    std::string allow;
    for (const auto& candidate : this->table) {
        if (!matches(candidate.pattern, segments)) {
            continue;
        }
        if (candidate.method == request.method) {
            return candidate.action(
                {.segments = segments, .limit = this->limit_from(request.target), .body = request.body});
        }
        allow += (allow.empty() ? "" : ", ") + candidate.method;
    }
    if (allow.empty()) {
        return refused_reply(http_status::not_found, "no such path");
    }
    auto reply =
        refused_reply(http_status::method_not_allowed, "method not allowed; the path accepts " + allow);
    reply.allow = allow;
    return reply;
}

core::milliseconds routes::limit_from(const std::string& target) const {
    auto limit = this->options.default_limit;
    bool found = false;
    for (const auto& [name, value] : Poco::URI{target}.getQueryParameters()) {
        if (name != "limit") {
            throw core::invalid_argument(name + ": is not a known query parameter");
        }
        if (std::exchange(found, true)) {
            throw core::invalid_argument("limit: duplicate parameter");
        }
        try {
            limit = core::parse_duration(value);
        } catch (const core::invalid_argument& error) {
            throw core::invalid_argument(std::string{"limit: "} + error.what());
        }
    }
    if (limit.count() == 0 || limit > this->options.max_limit) {
        throw core::invalid_argument("limit: must be from 1ms to " +
                                     core::format_duration(this->options.max_limit));
    }
    return limit;
}

http_reply refused_reply(http_status status, const std::string& reason) {
    return {.status = status, .body = encode_error(answer_state::refused, outcome::not_run, reason)};
}

} // namespace rattanmount::front
