#include "ledger/conversion.h"

#include "core/errors.h"

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace rattanmount::ledger {

namespace {

template <typename Enum>
Enum to_enum(std::int32_t number, Enum last, std::string_view field) {
    if (number < 0 || number > static_cast<std::int32_t>(last)) {
        throw core::invalid_argument(std::string{field} + ": " + std::to_string(number) + " names no value");
    }
    return static_cast<Enum>(number);
}

core::attempt_end to_attempt_end(std::int32_t number) {
    return to_enum(number, core::attempt_end::stopped, "attempt_end");
}

core::outcome to_outcome(std::int32_t number) {
    return to_enum(number, core::outcome::unknown, "outcome");
}

core::work_kind to_work_kind(std::int32_t number) {
    return to_enum(number, core::work_kind::service, "work_kind");
}

template <typename Enum>
std::int32_t enum_number(Enum value) {
    return static_cast<std::int32_t>(value);
}

template <typename Id>
std::int64_t id_number(Id id) {
    return static_cast<std::int64_t>(id.value());
}

template <typename Id>
Id to_id(std::int64_t number) {
    return Id{static_cast<std::uint64_t>(number)};
}

std::int64_t milliseconds_of(core::system_time time) {
    return core::since_epoch(time).count();
}

core::system_time to_time(std::int64_t milliseconds) {
    constexpr std::int64_t last = 253'402'300'799'999; // The end of the year 9999.
    if (milliseconds < -last || milliseconds > last) {
        throw core::invalid_argument("time: " + std::to_string(milliseconds) + " ms is out of range");
    }
    return core::from_epoch(core::milliseconds{milliseconds});
}

gen::job_key to_key(const core::job_id& id) {
    gen::job_key key;
    key.team = id.team.value();
    key.key = id.key.value();
    return key;
}

core::job_id to_job_id(gen::job_key&& key) {
    return {.team = core::team_id{std::move(key.team)}, .key = core::request_key{std::move(key.key)}};
}

gen::attempt_key to_key(const core::attempt_id& id) {
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

gen::amounts to_amounts(const core::resources& value) {
    gen::amounts amounts;
    amounts.__set_millicores(value.millicores);
    amounts.__set_memory_mb(value.memory_mb);
    if (value.accelerators != 0) {
        amounts.__set_accelerators(value.accelerators);
    }
    return amounts;
}

core::resources to_resources(const gen::amounts& amounts) {
    return {.millicores = amounts.millicores,
            .memory_mb = amounts.memory_mb,
            .accelerators = amounts.accelerators};
}

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

gen::item_data to_item_data(const release::note_item& value) {
    gen::item_data data;
    data.change = enum_number(value.change);
    data.replaces = id_number(value.replaces);
    if (const auto* pool = std::get_if<release::pool_policy>(&value.policy)) {
        data.__set_pool(to_generated(*pool));
    } else {
        data.__set_team(to_generated(std::get<release::team_policy>(value.policy)));
    }
    return data;
}

release::note_item to_item(gen::item_data&& data) {
    if (data.__isset.pool == data.__isset.team) {
        throw core::invalid_argument("note item: needs either a pool or a team");
    }
    release::note_item item;
    item.change = to_enum(data.change, release::item_change::withdraw, "item_change");
    item.replaces = to_id<core::revision_id>(data.replaces);
    if (data.__isset.pool) {
        item.policy = from_generated(std::move(data.pool));
    } else {
        item.policy = from_generated(std::move(data.team));
    }
    return item;
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
    data.attempt = to_key(value.attempt);
    data.place = value.place;
    data.at = milliseconds_of(value.at);
    out.__set_task_started(data);
}

void set(gen::any_record& out, const task_ended& value) {
    gen::task_ended_record data;
    data.attempt = to_key(value.attempt);
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
    if (value.dropped_payload) {
        data.__set_dropped_payload(static_cast<std::int64_t>(*value.dropped_payload));
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
        entry.dropped_payload = static_cast<std::uint64_t>(value.dropped_payload);
    }
    return entry;
}

gen::pool_data to_generated(const release::pool_policy& value) {
    gen::pool_data data;
    data.name = value.name.value();
    data.kind = enum_number(value.kind);
    data.priority = static_cast<std::int32_t>(value.priority);
    data.urgent = value.urgent;
    data.preemptible = value.preemptible;
    data.spread = value.spread;
    data.weight = static_cast<std::int32_t>(value.weight);
    data.max_share = value.max_share;
    data.quick_limit = value.quick_limit.count();
    data.queue_limit = static_cast<std::int32_t>(value.queue_limit);
    for (const core::service_id& service : value.services) {
        data.services.push_back(service.value());
    }
    return data;
}

release::pool_policy from_generated(gen::pool_data&& value) {
    release::pool_policy pool;
    pool.name = core::pool_id{std::move(value.name)};
    pool.kind = to_work_kind(value.kind);
    pool.priority = static_cast<std::uint32_t>(value.priority);
    pool.urgent = value.urgent;
    pool.preemptible = value.preemptible;
    pool.spread = value.spread;
    pool.weight = static_cast<std::uint32_t>(value.weight);
    pool.max_share = value.max_share;
    pool.quick_limit = core::milliseconds{value.quick_limit};
    pool.queue_limit = static_cast<std::uint32_t>(value.queue_limit);
    for (std::string& service : value.services) {
        pool.services.emplace_back(std::move(service));
    }
    return pool;
}

gen::team_data to_generated(const release::team_policy& value) {
    gen::team_data data;
    data.name = value.name.value();
    data.region = value.region.value();
    data.quota = to_amounts(value.quota);
    data.weight = static_cast<std::int32_t>(value.weight);
    return data;
}

release::team_policy from_generated(gen::team_data&& value) {
    return {.name = core::team_id{std::move(value.name)},
            .region = core::region_id{std::move(value.region)},
            .quota = to_resources(value.quota),
            .weight = static_cast<std::uint32_t>(value.weight)};
}

gen::note_data to_generated(const release::release_note& value) {
    gen::note_data data;
    data.id = value.id.value();
    data.author = value.author;
    data.items.reserve(value.items.size());
    for (const release::note_item& item : value.items) {
        data.items.push_back(to_item_data(item));
    }
    return data;
}

release::release_note from_generated(gen::note_data&& value) {
    release::release_note note;
    note.id = core::note_id{std::move(value.id)};
    note.author = std::move(value.author);
    note.items.reserve(value.items.size());
    for (gen::item_data& item : value.items) {
        note.items.push_back(to_item(std::move(item)));
    }
    return note;
}

gen::any_record to_generated(const record& value) {
    gen::any_record out;
    std::visit([&](const auto& kind) { set(out, kind); }, value);
    return out;
}

std::optional<record> from_generated(gen::any_record&& value) {
    if (count_kinds(value) > 1) {
        throw core::invalid_argument("a record has more than one kind");
    }
    if (auto found = read_shard_record(value)) {
        return found;
    }
    if (auto found = read_job_record(value)) {
        return found;
    }
    return read_other_record(value);
}

std::vector<gen::producer_data> to_generated(const producer_table& value) {
    std::vector<gen::producer_data> data;
    data.reserve(value.entries().size());
    for (const producer_table::entry& one : value.entries()) {
        data.emplace_back();
        data.back().producer = one.producer.value();
        data.back().sequence = id_number(one.last);
    }
    return data;
}

void from_generated(const std::vector<gen::producer_data>& producers, producer_table& table) {
    table.clear();
    for (const gen::producer_data& one : producers) {
        table.count(core::incarnation_id{one.producer}, to_id<core::sequence_number>(one.sequence));
    }
}

} // namespace rattanmount::ledger
