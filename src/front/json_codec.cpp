#include "front/json_codec.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "core/names.h"
#include "front/bytes_text.h"
#include "front/object_reader.h"
#include "front/strict_json.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Exception.h>

#include <array>
#include <cstdint>
#include <limits>

namespace rattanmount::front {

namespace {

using nlohmann::json;

constexpr std::int64_t max_resource_amount = 1'000'000'000'000;
constexpr std::int64_t max_count = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();
constexpr auto time_format = "%Y-%m-%dT%H:%M:%S.%iZ"; ///< %i: milliseconds, three digits.

std::string format_time(core::system_time time) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(core::since_epoch(time)).count();
    return Poco::DateTimeFormatter::format(Poco::Timestamp{micros}, time_format);
}

core::system_time parse_time(const std::string& text, const std::string& field) {
    int zone = 0;
    Poco::DateTime time;
    if (!Poco::DateTimeParser::tryParse(time_format, text, time, zone)) {
        throw core::invalid_argument(field + ": not a valid time: '" + text + "'");
    }
    const std::chrono::microseconds micros{time.timestamp().epochMicroseconds()};
    return core::from_epoch(std::chrono::duration_cast<core::milliseconds>(micros));
}

void put_bytes(json& object, const std::string& field, const std::string& bytes) {
    if (is_utf8(bytes)) {
        object[field] = bytes;
    } else {
        object[field + "_base64"] = encode_base64(bytes);
    }
}

template <typename Value, std::size_t Count>
Value parse_name(const std::array<Value, Count>& values, const std::string& text, const std::string& field) {
    for (const auto value : values) {
        if (core::to_string(value) == text) {
            return value;
        }
    }
    throw core::invalid_argument(field + ": unknown value '" + text + "'");
}

core::answer_state parse_state(const std::string& text) {
    constexpr std::array states{core::answer_state::accepted, core::answer_state::ended,
                                core::answer_state::refused, core::answer_state::unsettled};
    return parse_name(states, text, "state");
}

core::note_verdict parse_verdict(const std::string& text) {
    constexpr std::array verdicts{core::note_verdict::accepted, core::note_verdict::pending,
                                  core::note_verdict::refused, core::note_verdict::unsettled};
    return parse_name(verdicts, text, "verdict");
}

json to_json(const core::resources& amount) {
    return {{"millicores", amount.millicores},
            {"memory_mb", amount.memory_mb},
            {"accelerators", amount.accelerators}};
}

core::resources resources_from(const json& value, const std::string& path) {
    object_reader reader{value, path};
    const core::resources amount{.millicores = reader.integer_or("millicores", 0, 0, max_resource_amount),
                                 .memory_mb = reader.integer_or("memory_mb", 0, 0, max_resource_amount),
                                 .accelerators =
                                     reader.integer_or("accelerators", 0, 0, max_resource_amount)};
    reader.refuse_unread_fields();
    return amount;
}

json to_json(const core::job_spec& spec) {
    json object{{"team", spec.id.team.value()},
                {"key", spec.id.key.value()},
                {"pool", spec.pool.value()},
                {"kind", core::to_string(spec.kind)},
                {"tasks", spec.tasks},
                {"each", to_json(spec.each)},
                {"expected_run_time", core::format_duration(spec.expected_run_time)},
                {"idempotent", spec.idempotent},
                {"max_attempts", spec.max_attempts}};
    if (!spec.service.empty()) {
        object["service"] = spec.service.value();
    }
    put_bytes(object, "payload", spec.payload);
    return object;
}

core::job_id id_from(object_reader& reader) {
    return {.team = core::team_id{reader.text("team")}, .key = core::request_key{reader.text("key")}};
}

core::job_spec spec_from(const json& value, const std::string& path) {
    object_reader reader{value, path};
    core::job_spec spec;
    spec.id = id_from(reader);
    spec.pool = core::pool_id{reader.text("pool")};
    spec.kind = core::parse_work_kind(reader.text("kind"));
    spec.tasks = static_cast<std::uint32_t>(reader.integer_or("tasks", 1, 1, core::job_limits::max_tasks));
    if (reader.has("each")) {
        spec.each = resources_from(reader.member("each"), reader.path_of("each"));
    }
    spec.expected_run_time = reader.duration_or("expected_run_time", core::milliseconds{0});
    spec.idempotent = reader.boolean_or("idempotent", true);
    const std::int64_t default_attempts = spec.idempotent ? core::job_spec{}.max_attempts : 1;
    spec.max_attempts = static_cast<std::uint32_t>(
        reader.integer_or("max_attempts", default_attempts, 1, core::job_limits::max_attempts));
    spec.service = core::service_id{reader.text_or("service", "")};
    spec.payload = reader.bytes_or("payload", "");
    reader.refuse_unread_fields();
    spec.check();
    return spec;
}

json to_json(const core::job_status& status) {
    return {{"spec", to_json(status.spec)},
            {"accepted_at", format_time(status.accepted_at)},
            {"ended", status.ended ? json(core::to_string(*status.ended)) : json()},
            {"reason", status.reason},
            {"tasks_waiting", status.tasks_waiting},
            {"tasks_running", status.tasks_running},
            {"tasks_ended", status.tasks_ended},
            {"places", status.places}};
}

std::uint32_t count_from(object_reader& reader, const std::string& field) {
    return static_cast<std::uint32_t>(reader.integer(field, 0, max_count));
}

core::job_status status_from(const json& value, const std::string& path) {
    object_reader reader{value, path};
    core::job_status status;
    status.spec = spec_from(reader.member("spec"), reader.path_of("spec"));
    status.accepted_at = parse_time(reader.text("accepted_at"), reader.path_of("accepted_at"));
    const auto ended = reader.text_or("ended", "");
    if (!ended.empty()) {
        status.ended = core::parse_outcome(ended);
    }
    status.reason = reader.text("reason");
    status.tasks_waiting = count_from(reader, "tasks_waiting");
    status.tasks_running = count_from(reader, "tasks_running");
    status.tasks_ended = count_from(reader, "tasks_ended");
    status.places = reader.texts("places");
    reader.refuse_unread_fields();
    return status;
}

json to_json(const core::host_status& host) {
    json shards = json::array();
    for (const auto& shard : host.shards) {
        shards.push_back(shard.value());
    }
    return {
        {"host", host.host.value()}, {"address", host.address}, {"data_centre", host.data_centre.value()},
        {"live", host.live},         {"leaving", host.leaving}, {"config_offset", host.config_offset.value()},
        {"shards", shards}};
}

std::vector<core::shard_id> shards_from(const json& value, const std::string& path) {
    std::vector<core::shard_id> shards;
    for (const auto& element : value) {
        if (!element.is_number_unsigned()) {
            throw core::invalid_argument(path + ": must contain only whole numbers");
        }
        shards.emplace_back(element.get<std::uint64_t>());
    }
    return shards;
}

core::host_status host_from(const json& value, const std::string& path) {
    object_reader reader{value, path};
    core::host_status host{.host = core::host_id{reader.text("host")},
                           .address = reader.text("address"),
                           .data_centre = core::data_centre_id{reader.text("data_centre")},
                           .live = reader.boolean("live"),
                           .leaving = reader.boolean("leaving"),
                           .config_offset = core::log_offset{static_cast<std::uint64_t>(
                               reader.integer("config_offset", 0, max_number))},
                           .shards = shards_from(reader.member("shards"), reader.path_of("shards"))};
    reader.refuse_unread_fields();
    return host;
}

/// Checks the names of a quick request by the same rules as those of a job.
void check_names(const core::quick_request& request) {
    core::job_spec spec;
    spec.id = request.id;
    spec.pool = request.pool;
    spec.kind = core::work_kind::quick;
    spec.service = request.service;
    spec.check();
}

} // namespace

std::string encode(const core::job_spec& spec) {
    return write_json(to_json(spec));
}

core::job_spec decode_job_spec(const std::string& text) {
    return spec_from(parse_json(text), "");
}

std::string encode(const core::job_answer& answer) {
    const bool has_result = answer.state != core::answer_state::accepted;
    return write_json({{"state", core::to_string(answer.state)},
                       {"result", has_result ? json(core::to_string(answer.result)) : json()},
                       {"reason", answer.reason},
                       {"status", answer.status ? to_json(*answer.status) : json()}});
}

core::job_answer decode_job_answer(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    core::job_answer answer;
    answer.state = parse_state(reader.text("state"));
    answer.result = core::parse_outcome(reader.text_or("result", "unknown"));
    answer.reason = reader.text("reason");
    const bool has_status = reader.has("status");
    if (has_status) {
        answer.status = status_from(reader.member("status"), "status");
    }
    return answer;
}

std::string encode(const core::quick_request& request) {
    json object{{"team", request.id.team.value()},  {"key", request.id.key.value()},
                {"pool", request.pool.value()},     {"service", request.service.value()},
                {"idempotent", request.idempotent}, {"limit", core::format_duration(request.limit)}};
    put_bytes(object, "body", request.body);
    return write_json(object);
}

core::quick_request decode_quick_request(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    core::quick_request request;
    request.id = id_from(reader);
    request.pool = core::pool_id{reader.text("pool")};
    request.service = core::service_id{reader.text("service")};
    request.idempotent = reader.boolean_or("idempotent", true);
    request.limit = reader.duration_or("limit", core::milliseconds{0});
    request.body = reader.bytes_or("body", "");
    reader.refuse_unread_fields();
    check_names(request);
    return request;
}

std::string encode(const core::quick_answer& answer) {
    json object{{"result", core::to_string(answer.result)},
                {"reason", answer.reason},
                {"executor", answer.executor.value()}};
    put_bytes(object, "body", answer.body);
    return write_json(object);
}

core::quick_answer decode_quick_answer(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    return {.result = core::parse_outcome(reader.text("result")),
            .reason = reader.text("reason"),
            .body = reader.bytes_or("body", ""),
            .executor = core::executor_id{reader.text_or("executor", "")}};
}

std::string encode(const core::note_answer& answer) {
    json missing = json::array();
    for (const auto& host : answer.missing) {
        missing.push_back(host.value());
    }
    return write_json(
        {{"verdict", core::to_string(answer.verdict)}, {"reason", answer.reason}, {"missing", missing}});
}

core::note_answer decode_note_answer(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    core::note_answer answer{
        .verdict = parse_verdict(reader.text("verdict")), .reason = reader.text("reason"), .missing = {}};
    for (const auto& host : reader.texts("missing")) {
        answer.missing.emplace_back(host);
    }
    return answer;
}

std::string encode(const std::vector<core::host_status>& hosts) {
    json list = json::array();
    for (const auto& host : hosts) {
        list.push_back(to_json(host));
    }
    return write_json({{"hosts", list}});
}

std::vector<core::host_status> decode_hosts(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    std::vector<core::host_status> hosts;
    for (const auto& element : reader.member("hosts")) {
        hosts.push_back(host_from(element, "hosts[" + std::to_string(hosts.size()) + "]"));
    }
    return hosts;
}

std::string encode_explanation(const std::vector<std::string>& lines) {
    return write_json({{"explanation", lines}});
}

std::vector<std::string> decode_explanation(const std::string& text) {
    const auto value = parse_json(text);
    object_reader reader{value};
    return reader.texts("explanation");
}

void check_note_text(const std::string& text) {
    const auto value = parse_json(text, json_comments::allowed);
    object_reader reader{value};
}

std::string encode_error(core::answer_state state, core::outcome result, const std::string& reason) {
    return write_json(
        {{"state", core::to_string(state)}, {"result", core::to_string(result)}, {"reason", reason}});
}

} // namespace rattanmount::front
