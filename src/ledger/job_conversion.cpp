#include "ledger/job_conversion.h"

#include "ledger/generated_values.h"

#include <utility>

namespace rattanmount::ledger {

namespace {

gen::task_data to_task_data(const task_entry& value) {
    gen::task_data data;
    data.phase = enum_number(value.phase);
    data.attempt = static_cast<std::int32_t>(value.attempt);
    if (!value.place.empty()) {
        data.__set_place(value.place);
    }
    if (value.started_at != core::system_time{}) {
        data.__set_started_at(milliseconds_of(value.started_at));
    }
    if (value.failures != 0) {
        data.__set_failures(static_cast<std::int32_t>(value.failures));
    }
    if (value.last_end) {
        data.__set_last_end(enum_number(*value.last_end));
    }
    if (!value.last_reason.empty()) {
        data.__set_last_reason(value.last_reason);
    }
    return data;
}

task_entry to_task(gen::task_data&& data) {
    task_entry task;
    task.phase = to_enum(data.phase, core::task_phase::ended, "task_phase");
    task.attempt = static_cast<std::uint32_t>(data.attempt);
    task.place = std::move(data.place);
    task.started_at = to_time(data.started_at);
    task.failures = static_cast<std::uint32_t>(data.failures);
    if (data.__isset.last_end) {
        task.last_end = to_attempt_end(data.last_end);
    }
    task.last_reason = std::move(data.last_reason);
    return task;
}

} // namespace

gen::job_spec_data to_generated(const core::job_spec& value) {
    gen::job_spec_data data;
    data.id = to_key(value.id);
    data.pool = value.pool.value();
    data.kind = enum_number(value.kind);
    data.tasks = static_cast<std::int32_t>(value.tasks);
    data.each = to_amounts(value.each);
    if (value.expected_run_time.count() != 0) {
        data.__set_expected_run_time(value.expected_run_time.count());
    }
    data.idempotent = value.idempotent;
    data.max_attempts = static_cast<std::int32_t>(value.max_attempts);
    if (!value.service.empty()) {
        data.__set_target_service(value.service.value());
    }
    if (!value.payload.empty()) {
        data.__set_payload(value.payload);
    }
    return data;
}

core::job_spec from_generated(gen::job_spec_data&& value) {
    core::job_spec spec;
    spec.id = to_job_id(std::move(value.id));
    spec.pool = core::pool_id{std::move(value.pool)};
    spec.kind = to_work_kind(value.kind);
    spec.tasks = static_cast<std::uint32_t>(value.tasks);
    spec.each = to_resources(value.each);
    spec.expected_run_time = core::milliseconds{value.expected_run_time};
    spec.idempotent = value.idempotent;
    spec.max_attempts = static_cast<std::uint32_t>(value.max_attempts);
    spec.service = core::service_id{std::move(value.target_service)};
    spec.payload = std::move(value.payload);
    return spec;
}

gen::job_entry_data to_generated(const job_entry& value) {
    gen::job_entry_data data;
    data.spec = to_generated(value.spec);
    data.accepted_at = milliseconds_of(value.accepted_at);
    data.tasks.reserve(value.tasks.size());
    for (const task_entry& task : value.tasks) {
        data.tasks.push_back(to_task_data(task));
    }
    if (value.cancelled) {
        data.__set_cancelled(true);
    }
    if (value.ended) {
        data.__set_ended(enum_number(*value.ended));
        data.__set_ended_at(milliseconds_of(value.ended_at));
    }
    if (!value.reason.empty()) {
        data.__set_reason(value.reason);
    }
    if (value.moved_to) {
        data.__set_moved_to(id_number(*value.moved_to));
    }
    if (value.move_confirmed) {
        data.__set_move_confirmed(true);
    }
    if (value.payload_hash) {
        data.__set_dropped_payload(static_cast<std::int64_t>(*value.payload_hash));
    }
    return data;
}

job_entry from_generated(gen::job_entry_data&& value) {
    job_entry entry;
    entry.spec = from_generated(std::move(value.spec));
    entry.accepted_at = to_time(value.accepted_at);
    entry.tasks.reserve(value.tasks.size());
    for (gen::task_data& task : value.tasks) {
        entry.tasks.push_back(to_task(std::move(task)));
    }
    entry.cancelled = value.cancelled;
    if (value.__isset.ended) {
        entry.ended = to_outcome(value.ended);
        entry.ended_at = to_time(value.ended_at);
    }
    entry.reason = std::move(value.reason);
    if (value.__isset.moved_to) {
        entry.moved_to = to_id<core::shard_id>(value.moved_to);
    }
    entry.move_confirmed = value.move_confirmed;
    if (value.__isset.dropped_payload) {
        entry.payload_hash = static_cast<std::uint64_t>(value.dropped_payload);
    }
    return entry;
}

} // namespace rattanmount::ledger
