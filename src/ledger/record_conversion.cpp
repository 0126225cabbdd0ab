#include "ledger/record_conversion.h"

#include "core/errors.h"
#include "ledger/generated_values.h"
#include "ledger/job_conversion.h"
#include "ledger/policy_conversion.h"

#include <utility>

namespace rattanmount::ledger {

namespace {

gen::attempt_key to_attempt_key(const core::attempt_id& id) {
    gen::attempt_key key;
    key.job = to_key(id.job);
    key.task = static_cast<std::int32_t>(id.task);
    key.attempt = static_cast<std::int32_t>(id.attempt);
    return key;
}

core::attempt_id to_attempt_id(gen::attempt_key&& key) {
    return {.job = to_job_id(std::move(key.job)),
            .task = static_cast<std::uint32_t>(key.task),
            .attempt = static_cast<std::uint32_t>(key.attempt)};
}

void set(gen::any_record& out, const shard_claimed& value) {
    gen::shard_claimed_record data;
    data.previous = id_number(value.previous);
    data.host = value.host.value();
    out.__set_shard_claimed(data);
}

void set(gen::any_record& out, const shard_released&) {
    out.__set_shard_released({});
}

void set(gen::any_record& out, const job_accepted& value) {
    gen::job_accepted_record data;
    data.spec = to_generated(value.spec);
    data.at = milliseconds_of(value.at);
    out.__set_job_accepted(data);
}

void set(gen::any_record& out, const task_started& value) {
    gen::task_started_record data;
    data.attempt = to_attempt_key(value.attempt);
    data.place = value.place;
    data.at = milliseconds_of(value.at);
    out.__set_task_started(data);
}

void set(gen::any_record& out, const task_ended& value) {
    gen::task_ended_record data;
    data.attempt = to_attempt_key(value.attempt);
    data.how = enum_number(value.end);
    if (!value.reason.empty()) {
        data.__set_reason(value.reason);
    }
    data.at = milliseconds_of(value.at);
    out.__set_task_ended(data);
}

void set(gen::any_record& out, const job_ended& value) {
    gen::job_ended_record data;
    data.job = to_key(value.job);
    data.result = enum_number(value.result);
    if (!value.reason.empty()) {
        data.__set_reason(value.reason);
    }
    data.at = milliseconds_of(value.at);
    out.__set_job_ended(data);
}

void set(gen::any_record& out, const job_cancelled& value) {
    gen::job_cancelled_record data;
    data.job = to_key(value.job);
    data.at = milliseconds_of(value.at);
    out.__set_job_cancelled(data);
}

void set(gen::any_record& out, const job_moved& value) {
    gen::job_moved_record data;
    data.job = to_key(value.job);
    data.to = id_number(value.to);
    out.__set_job_moved(data);
}

void set(gen::any_record& out, const move_confirmed& value) {
    gen::move_confirmed_record data;
    data.job = to_key(value.job);
    out.__set_move_confirmed(data);
}

void set(gen::any_record& out, const job_forgotten& value) {
    gen::job_forgotten_record data;
    data.job = to_key(value.job);
    out.__set_job_forgotten(data);
}

void set(gen::any_record& out, const rack_assigned& value) {
    gen::rack_assigned_record data;
    data.rack = value.rack.value();
    data.shard = id_number(value.shard);
    out.__set_rack_assigned(data);
}

void set(gen::any_record& out, const note_proposed& value) {
    gen::note_proposed_record data;
    data.note = to_generated(value.note);
    data.at = milliseconds_of(value.at);
    out.__set_note_proposed(data);
}

void set(gen::any_record& out, const snapshot_taken& value) {
    gen::snapshot_taken_record data;
    data.state = value.state;
    data.at = id_number(value.at);
    out.__set_snapshot_taken(data);
}

shard_claimed read(gen::shard_claimed_record&& data) {
    return {.previous = to_id<core::epoch_id>(data.previous), .host = core::host_id{std::move(data.host)}};
}

job_accepted read(gen::job_accepted_record&& data) {
    return {.spec = from_generated(std::move(data.spec)), .at = to_time(data.at)};
}

task_started read(gen::task_started_record&& data) {
    return {.attempt = to_attempt_id(std::move(data.attempt)),
            .place = std::move(data.place),
            .at = to_time(data.at)};
}

task_ended read(gen::task_ended_record&& data) {
    return {.attempt = to_attempt_id(std::move(data.attempt)),
            .end = to_attempt_end(data.how),
            .reason = std::move(data.reason),
            .at = to_time(data.at)};
}

job_ended read(gen::job_ended_record&& data) {
    return {.job = to_job_id(std::move(data.job)),
            .result = to_outcome(data.result),
            .reason = std::move(data.reason),
            .at = to_time(data.at)};
}

job_cancelled read(gen::job_cancelled_record&& data) {
    return {.job = to_job_id(std::move(data.job)), .at = to_time(data.at)};
}

job_moved read(gen::job_moved_record&& data) {
    return {.job = to_job_id(std::move(data.job)), .to = to_id<core::shard_id>(data.to)};
}

rack_assigned read(gen::rack_assigned_record&& data) {
    return {.rack = core::rack_id{std::move(data.rack)}, .shard = to_id<core::shard_id>(data.shard)};
}

note_proposed read(gen::note_proposed_record&& data) {
    return {.note = from_generated(std::move(data.note)), .at = to_time(data.at)};
}

snapshot_taken read(gen::snapshot_taken_record&& data) {
    return {.state = std::move(data.state), .at = to_id<core::log_offset>(data.at)};
}

int count_kinds(const gen::any_record& value) {
    const auto& set = value.__isset;
    return set.shard_claimed + set.shard_released + set.job_accepted + set.task_started + set.task_ended +
           set.job_ended + set.job_cancelled + set.job_moved + set.move_confirmed + set.job_forgotten +
           set.rack_assigned + set.note_proposed + set.snapshot_taken;
}

std::optional<record> read_shard_record(gen::any_record& value) {
    if (value.__isset.shard_claimed) {
        return read(std::move(value.shard_claimed));
    }
    if (value.__isset.shard_released) {
        return shard_released{};
    }
    if (value.__isset.task_started) {
        return read(std::move(value.task_started));
    }
    if (value.__isset.task_ended) {
        return read(std::move(value.task_ended));
    }
    return std::nullopt;
}

std::optional<record> read_job_record(gen::any_record& value) {
    if (value.__isset.job_accepted) {
        return read(std::move(value.job_accepted));
    }
    if (value.__isset.job_ended) {
        return read(std::move(value.job_ended));
    }
    if (value.__isset.job_cancelled) {
        return read(std::move(value.job_cancelled));
    }
    if (value.__isset.job_moved) {
        return read(std::move(value.job_moved));
    }
    if (value.__isset.move_confirmed) {
        return move_confirmed{.job = to_job_id(std::move(value.move_confirmed.job))};
    }
    if (value.__isset.job_forgotten) {
        return job_forgotten{.job = to_job_id(std::move(value.job_forgotten.job))};
    }
    return std::nullopt;
}

std::optional<record> read_other_record(gen::any_record& value) {
    if (value.__isset.rack_assigned) {
        return read(std::move(value.rack_assigned));
    }
    if (value.__isset.note_proposed) {
        return read(std::move(value.note_proposed));
    }
    if (value.__isset.snapshot_taken) {
        return read(std::move(value.snapshot_taken));
    }
    return std::nullopt;
}

} // namespace

gen::any_record to_generated(const record& value) {
    gen::any_record out;
    std::visit([&](const auto& kind) { set(out, kind); }, value);
    return out;
}

std::optional<record> from_generated(gen::any_record&& value) {
    if (count_kinds(value) > 1) {
        throw core::invalid_argument("a record has more than one kind set, expected exactly one");
    }
    if (auto found = read_shard_record(value)) {
        return found;
    }
    if (auto found = read_job_record(value)) {
        return found;
    }
    return read_other_record(value);
}

} // namespace rattanmount::ledger
