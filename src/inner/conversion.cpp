#include "inner/conversion.h"

#include "core/errors.h"
#include "inner/wire_field.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>

namespace rattanmount::inner {

namespace {

template <typename Core, std::size_t Count>
using enum_table = std::array<std::pair<Core, int>, Count>;

constexpr enum_table<core::work_kind, 4> kinds{{{core::work_kind::quick, gen::work_kind::quick},
                                                {core::work_kind::batch, gen::work_kind::batch},
                                                {core::work_kind::gang, gen::work_kind::gang},
                                                {core::work_kind::service, gen::work_kind::long_running}}};
constexpr enum_table<core::outcome, 4> outcomes{{{core::outcome::completed, gen::outcome::completed},
                                                 {core::outcome::failed, gen::outcome::failed},
                                                 {core::outcome::not_run, gen::outcome::not_run},
                                                 {core::outcome::unknown, gen::outcome::unknown}}};
constexpr enum_table<core::answer_state, 4> states{
    {{core::answer_state::accepted, gen::answer_state::accepted},
     {core::answer_state::ended, gen::answer_state::ended},
     {core::answer_state::refused, gen::answer_state::refused},
     {core::answer_state::unsettled, gen::answer_state::unsettled}}};
constexpr enum_table<cell::slot_release, 5> releases{
    {{cell::slot_release::done, gen::slot_release::done},
     {cell::slot_release::unsent, gen::slot_release::unsent},
     {cell::slot_release::lost, gen::slot_release::lost},
     {cell::slot_release::broken, gen::slot_release::broken},
     {cell::slot_release::refused, gen::slot_release::refused}}};

template <typename Table, typename Core>
std::int8_t enum_to_wire(const Table& table, Core value) {
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto& entry) { return entry.first == value; });
    if (found == table.end()) {
        throw core::invalid_argument("enumeration value without a wire value: " +
                                     std::to_string(static_cast<int>(value)));
    }
    return static_cast<std::int8_t>(found->second);
}

template <typename Table>
auto enum_from_wire(const Table& table, std::int8_t number, const char* field) {
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto& entry) { return entry.second == number; });
    if (found == table.end()) {
        throw core::invalid_argument(std::string{field} + ": unknown value " + std::to_string(number));
    }
    return found->first;
}

gen::job_status status_to_wire(const core::job_status& value) {
    gen::job_status message;
    message.__set_spec(to_wire(value.spec));
    message.__set_accepted_at_ms(core::since_epoch(value.accepted_at).count());
    if (value.ended) {
        message.__set_ended(enum_to_wire(outcomes, *value.ended));
    }
    message.__set_reason(value.reason);
    message.__set_tasks_waiting(count_to_wire(value.tasks_waiting));
    message.__set_tasks_running(count_to_wire(value.tasks_running));
    message.__set_tasks_ended(count_to_wire(value.tasks_ended));
    message.__set_places(value.places);
    return message;
}

core::job_status status_from_wire(const gen::job_status& message) {
    require(message.__isset.spec, "job_status.spec");
    require(message.__isset.accepted_at_ms, "job_status.accepted_at_ms");
    require(message.__isset.reason, "job_status.reason");
    require(message.__isset.tasks_waiting, "job_status.tasks_waiting");
    require(message.__isset.tasks_running, "job_status.tasks_running");
    require(message.__isset.tasks_ended, "job_status.tasks_ended");
    require(message.__isset.places, "job_status.places");
    core::job_status value{
        .spec = from_wire(message.spec),
        .accepted_at = core::from_epoch(core::milliseconds{message.accepted_at_ms}),
        .ended = std::nullopt,
        .reason = message.reason,
        .tasks_waiting = count_from_wire(message.tasks_waiting, "job_status.tasks_waiting"),
        .tasks_running = count_from_wire(message.tasks_running, "job_status.tasks_running"),
        .tasks_ended = count_from_wire(message.tasks_ended, "job_status.tasks_ended"),
        .places = message.places};
    if (message.__isset.ended) {
        value.ended = enum_from_wire(outcomes, message.ended, "job_status.ended");
    }
    return value;
}

gen::job_answer job_answer_to_wire(const core::job_answer& value) {
    gen::job_answer message;
    message.__set_state(enum_to_wire(states, value.state));
    message.__set_result(enum_to_wire(outcomes, value.result));
    message.__set_reason(value.reason);
    if (value.status) {
        message.__set_status(status_to_wire(*value.status));
    }
    return message;
}

core::job_answer job_answer_from_wire(const gen::job_answer& message) {
    require(message.__isset.state, "job_answer.state");
    require(message.__isset.result, "job_answer.result");
    require(message.__isset.reason, "job_answer.reason");
    core::job_answer value{.state = enum_from_wire(states, message.state, "job_answer.state"),
                           .result = enum_from_wire(outcomes, message.result, "job_answer.result"),
                           .reason = message.reason,
                           .status = std::nullopt};
    if (message.__isset.status) {
        value.status = status_from_wire(message.status);
    }
    return value;
}

gen::quick_answer quick_answer_to_wire(const core::quick_answer& value) {
    gen::quick_answer message;
    message.__set_result(enum_to_wire(outcomes, value.result));
    message.__set_reason(value.reason);
    message.__set_body(value.body);
    message.__set_executor(value.executor.value());
    return message;
}

core::quick_answer quick_answer_from_wire(const gen::quick_answer& message) {
    require(message.__isset.result, "quick_answer.result");
    require(message.__isset.reason, "quick_answer.reason");
    require(message.__isset.body, "quick_answer.body");
    require(message.__isset.executor, "quick_answer.executor");
    return {.result = enum_from_wire(outcomes, message.result, "quick_answer.result"),
            .reason = message.reason,
            .body = message.body,
            .executor = core::executor_id{message.executor}};
}

} // namespace

gen::resources to_wire(const core::resources& value) {
    gen::resources message;
    message.__set_millicores(value.millicores);
    message.__set_memory_mb(value.memory_mb);
    message.__set_accelerators(value.accelerators);
    return message;
}

core::resources from_wire(const gen::resources& message) {
    require(message.__isset.millicores, "resources.millicores");
    require(message.__isset.memory_mb, "resources.memory_mb");
    require(message.__isset.accelerators, "resources.accelerators");
    return {.millicores = message.millicores,
            .memory_mb = message.memory_mb,
            .accelerators = message.accelerators};
}

gen::endpoint to_wire(const core::endpoint& value) {
    gen::endpoint message;
    message.__set_address(value.address);
    message.__set_port(value.port);
    if (!value.path.empty()) {
        message.__set_path(value.path);
    }
    return message;
}

core::endpoint from_wire(const gen::endpoint& message) {
    require(message.__isset.address, "endpoint.address");
    require(message.__isset.port, "endpoint.port");
    if (message.port < 0 || message.port > std::numeric_limits<std::uint16_t>::max()) {
        throw core::invalid_argument("endpoint.port: not a port: " + std::to_string(message.port));
    }
    return {
        .address = message.address, .port = static_cast<std::uint16_t>(message.port), .path = message.path};
}

gen::job_id to_wire(const core::job_id& value) {
    gen::job_id message;
    message.__set_team(value.team.value());
    message.__set_key(value.key.value());
    return message;
}

core::job_id from_wire(const gen::job_id& message) {
    require(message.__isset.team, "job_id.team");
    require(message.__isset.key, "job_id.key");
    return {.team = core::team_id{message.team}, .key = core::request_key{message.key}};
}

gen::job_spec to_wire(const core::job_spec& value) {
    gen::job_spec message;
    message.__set_id(to_wire(value.id));
    message.__set_pool(value.pool.value());
    message.__set_kind(enum_to_wire(kinds, value.kind));
    message.__set_tasks(count_to_wire(value.tasks));
    message.__set_each(to_wire(value.each));
    message.__set_expected_run_time_ms(value.expected_run_time.count());
    message.__set_idempotent(value.idempotent);
    message.__set_max_attempts(count_to_wire(value.max_attempts));
    if (!value.service.empty()) {
        message.__set_service_name(value.service.value());
    }
    if (!value.payload.empty()) {
        message.__set_payload(value.payload);
    }
    return message;
}

core::job_spec from_wire(const gen::job_spec& message) {
    require(message.__isset.id, "job_spec.id");
    require(message.__isset.pool, "job_spec.pool");
    require(message.__isset.kind, "job_spec.kind");
    require(message.__isset.tasks, "job_spec.tasks");
    require(message.__isset.each, "job_spec.each");
    require(message.__isset.expected_run_time_ms, "job_spec.expected_run_time_ms");
    require(message.__isset.idempotent, "job_spec.idempotent");
    require(message.__isset.max_attempts, "job_spec.max_attempts");
    return {.id = from_wire(message.id),
            .pool = core::pool_id{message.pool},
            .kind = enum_from_wire(kinds, message.kind, "job_spec.kind"),
            .tasks = count_from_wire(message.tasks, "job_spec.tasks"),
            .each = from_wire(message.each),
            .expected_run_time =
                duration_from_wire(message.expected_run_time_ms, "job_spec.expected_run_time_ms"),
            .idempotent = message.idempotent,
            .max_attempts = count_from_wire(message.max_attempts, "job_spec.max_attempts"),
            .service = core::service_id{message.service_name},
            .payload = message.payload};
}

gen::owner_answer to_wire(const cell::owner_answer& value) {
    gen::owner_answer message;
    message.__set_owner(value.is_owner);
    if (!value.is_owner) {
        return message;
    }
    message.__set_answer(job_answer_to_wire(value.answer));
    if (!value.explanation.empty()) {
        message.__set_explanation(value.explanation);
    }
    if (value.moved_to) {
        message.__set_moved_to(to_wire(*value.moved_to));
    }
    return message;
}

cell::owner_answer from_wire(const gen::owner_answer& message) {
    require(message.__isset.owner, "owner_answer.owner");
    if (!message.owner) {
        return {};
    }
    require(message.__isset.answer, "owner_answer.answer");
    cell::owner_answer value{.is_owner = true,
                             .answer = job_answer_from_wire(message.answer),
                             .explanation = message.explanation,
                             .moved_to = std::nullopt};
    if (message.__isset.moved_to) {
        value.moved_to = id_from_wire<core::shard_id>(message.moved_to, "owner_answer.moved_to");
    }
    return value;
}

gen::quick_request to_wire(const core::quick_request& value) {
    gen::quick_request message;
    message.__set_id(to_wire(value.id));
    message.__set_pool(value.pool.value());
    message.__set_service_name(value.service.value());
    message.__set_idempotent(value.idempotent);
    message.__set_limit_ms(value.limit.count());
    message.__set_body(value.body);
    return message;
}

core::quick_request from_wire(const gen::quick_request& message) {
    require(message.__isset.id, "quick_request.id");
    require(message.__isset.pool, "quick_request.pool");
    require(message.__isset.service_name, "quick_request.service_name");
    require(message.__isset.idempotent, "quick_request.idempotent");
    require(message.__isset.limit_ms, "quick_request.limit_ms");
    require(message.__isset.body, "quick_request.body");
    return {.id = from_wire(message.id),
            .pool = core::pool_id{message.pool},
            .service = core::service_id{message.service_name},
            .idempotent = message.idempotent,
            .limit = duration_from_wire(message.limit_ms, "quick_request.limit_ms"),
            .body = message.body};
}

gen::owner_quick_answer to_wire(const cell::owner_quick_answer& value) {
    gen::owner_quick_answer message;
    message.__set_owner(value.is_owner);
    if (value.is_owner) {
        message.__set_answer(quick_answer_to_wire(value.answer));
    }
    return message;
}

cell::owner_quick_answer from_wire(const gen::owner_quick_answer& message) {
    require(message.__isset.owner, "owner_quick_answer.owner");
    if (!message.owner) {
        return {};
    }
    require(message.__isset.answer, "owner_quick_answer.answer");
    return {.is_owner = true, .answer = quick_answer_from_wire(message.answer)};
}

gen::slot_grant to_wire(const cell::slot_grant& value) {
    gen::slot_grant message;
    message.__set_granted(value.granted);
    message.__set_grant(static_cast<std::int64_t>(value.grant));
    if (value.granted) {
        message.__set_executor(value.executor.value());
        message.__set_address(to_wire(value.address));
    }
    if (!value.reason.empty()) {
        message.__set_reason(value.reason);
    }
    return message;
}

cell::slot_grant from_wire(const gen::slot_grant& message) {
    require(message.__isset.granted, "slot_grant.granted");
    require(message.__isset.grant, "slot_grant.grant");
    cell::slot_grant value{.granted = message.granted,
                           .grant = static_cast<std::uint64_t>(message.grant),
                           .reason = message.reason};
    if (message.granted) {
        require(message.__isset.executor, "slot_grant.executor");
        require(message.__isset.address, "slot_grant.address");
        value.executor = core::executor_id{message.executor};
        value.address = from_wire(message.address);
    }
    return value;
}

gen::config_copy to_wire(const cell::config_copy& value) {
    gen::config_copy message;
    message.__set_available(value.available);
    message.__set_next_offset(to_wire(value.next));
    if (value.available) {
        message.__set_state(value.state);
    }
    return message;
}

cell::config_copy from_wire(const gen::config_copy& message) {
    require(message.__isset.available, "config_copy.available");
    require(message.__isset.next_offset, "config_copy.next_offset");
    require(!message.available || message.__isset.state, "config_copy.state");
    return {.available = message.available,
            .next = id_from_wire<core::log_offset>(message.next_offset, "config_copy.next_offset"),
            .state = message.state};
}

std::int8_t to_wire(cell::slot_release how) {
    return enum_to_wire(releases, how);
}

cell::slot_release slot_release_from_wire(std::int8_t number) {
    return enum_from_wire(releases, number, "slot_release");
}

} // namespace rattanmount::inner
