#include "inner/workflow_codec.h"

#include "core/errors.h"
#include "core/longest_duration.h"
#include "ledger/thrift_bytes.h"
#include "workflow/task_name.h"

#include <set>
#include <string_view>
#include <type_traits>
#include <utility>
#include <workflow_types.h>

namespace rattanmount::inner {

namespace {

using namespace workflow;
using cell::keyed_record;

/// The first letter of a key identifies the kind of the record.
constexpr char accepted_key = 'j';
constexpr char cancelled_key = 'c';
constexpr char progress_key = 'p';
constexpr char part_key = 'q';
constexpr char leader_key = 'l';
constexpr char member_key = 'm';
constexpr char roster_key = 'w';
/// Precedes the team in the value of a cancellation, because an empty value would delete the record.
constexpr const char* cancelled_mark = "x";
constexpr std::size_t bits_per_byte = 8;

std::uint32_t count_of(std::int32_t number, const char* field) {
    if (number < 0) {
        throw core::invalid_argument(std::string{field} + ": is negative");
    }
    return static_cast<std::uint32_t>(number);
}

std::set<std::uint32_t> counts_of(const std::vector<std::int32_t>& numbers, const char* field) {
    std::set<std::uint32_t> counts;
    for (const auto number : numbers) {
        counts.insert(count_of(number, field));
    }
    return counts;
}

core::milliseconds milliseconds_of(std::int64_t number, const char* field) {
    if (number < -core::longest_duration.count() || number > core::longest_duration.count()) {
        throw core::invalid_argument(std::string{field} + ": is too long");
    }
    return core::milliseconds{number};
}

std::string key_of(char kind, const std::string& name) {
    return kind + name;
}

gen::wf_step to_gen(const step_request& step) {
    gen::wf_step to;
    to.tasks = static_cast<std::int32_t>(step.tasks);
    to.millicores = step.each.millicores;
    to.memory_mb = step.each.memory_mb;
    if (step.each.accelerators != 0) {
        to.__set_accelerators(step.each.accelerators);
    }
    if (step.estimate.count() != 0) {
        to.__set_estimate(step.estimate.count());
    }
    if (!step.after.empty()) {
        to.__set_after({step.after.begin(), step.after.end()});
    }
    const auto set_flag = [&to](bool value, void (gen::wf_step::*setter)(const bool)) {
        if (value) {
            (to.*setter)(true);
        }
    };
    set_flag(step.checkpoints, &gen::wf_step::__set_checkpoints);
    set_flag(step.gang, &gen::wf_step::__set_gang);
    set_flag(step.one_rack, &gen::wf_step::__set_one_rack);
    set_flag(step.allows_copies, &gen::wf_step::__set_allows_copies);
    set_flag(step.long_running, &gen::wf_step::__set_long_running);
    set_flag(step.uses_leftover, &gen::wf_step::__set_uses_leftover);
    const auto set_text = [&to](const std::string& value, void (gen::wf_step::*setter)(const std::string&)) {
        if (!value.empty()) {
            (to.*setter)(value);
        }
    };
    set_text(step.required_label.value(), &gen::wf_step::__set_required_label);
    set_text(step.data_rack.value(), &gen::wf_step::__set_data_rack);
    set_text(step.image.value(), &gen::wf_step::__set_image);
    if (step.most_per_worker != 0) {
        to.__set_most_per_worker(static_cast<std::int32_t>(step.most_per_worker));
    }
    if (step.may_be_away != 0) {
        to.__set_may_be_away(static_cast<std::int32_t>(step.may_be_away));
    }
    if (step.latency_limit.count() != 0) {
        to.__set_latency_limit(step.latency_limit.count());
    }
    return to;
}

step_request from_gen(const gen::wf_step& from) {
    step_request step;
    step.tasks = count_of(from.tasks, "tasks");
    step.each = {
        .millicores = from.millicores, .memory_mb = from.memory_mb, .accelerators = from.accelerators};
    step.estimate = milliseconds_of(from.estimate, "estimate");
    for (const auto earlier : from.after) {
        step.after.push_back(count_of(earlier, "after"));
    }
    step.checkpoints = from.checkpoints;
    step.gang = from.gang;
    step.one_rack = from.one_rack;
    step.allows_copies = from.allows_copies;
    step.long_running = from.long_running;
    step.uses_leftover = from.uses_leftover;
    step.required_label = worker_label{from.required_label};
    step.data_rack = core::rack_id{from.data_rack};
    step.most_per_worker = count_of(from.most_per_worker, "most_per_worker");
    step.may_be_away = count_of(from.may_be_away, "may_be_away");
    step.image = image_id{from.image};
    step.latency_limit = milliseconds_of(from.latency_limit, "latency_limit");
    return step;
}

gen::wf_policy to_gen(const queue_policy& policy) {
    gen::wf_policy to;
    to.queue = policy.queue.value();
    to.service_name = policy.service.value();
    to.priority = static_cast<std::int32_t>(policy.priority);
    to.max_attempts = static_cast<std::int32_t>(policy.max_attempts);
    to.stretch = policy.stretch;
    to.latency_goal = policy.latency_goal.count();
    if (policy.advice) {
        gen::wf_advice advice;
        advice.base_time = policy.advice->base_time.count();
        advice.time_per_worker_us = policy.advice->time_per_worker.count();
        advice.ticket_lifetime = policy.advice->ticket_lifetime.count();
        to.__set_advice(advice);
    }
    return to;
}

queue_policy from_gen(const gen::wf_policy& from) {
    queue_policy policy{.queue = queue_id{from.queue},
                        .service = core::service_id{from.service_name},
                        .priority = count_of(from.priority, "priority"),
                        .max_attempts = count_of(from.max_attempts, "max_attempts"),
                        .stretch = from.stretch,
                        .latency_goal = milliseconds_of(from.latency_goal, "latency_goal")};
    if (from.__isset.advice) {
        policy.advice =
            advice_policy{.base_time = milliseconds_of(from.advice.base_time, "base_time"),
                          .time_per_worker = std::chrono::microseconds{from.advice.time_per_worker_us},
                          .ticket_lifetime = milliseconds_of(from.advice.ticket_lifetime, "ticket_lifetime")};
    }
    return policy;
}

std::string pack_bits(const std::vector<bool>& bits) {
    std::string bytes((bits.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t i = 0; i < bits.size(); i++) {
        if (bits[i]) {
            bytes[i / bits_per_byte] = static_cast<char>(
                static_cast<unsigned char>(bytes[i / bits_per_byte]) | (1U << (i % bits_per_byte)));
        }
    }
    return bytes;
}

std::vector<bool> unpack_bits(const std::string& bytes, std::size_t count) {
    std::vector<bool> bits(count, false);
    for (std::size_t i = 0; i < count && i / bits_per_byte < bytes.size(); i++) {
        bits[i] = (static_cast<unsigned char>(bytes[i / bits_per_byte]) >> (i % bits_per_byte) & 1U) != 0;
    }
    return bits;
}

gen::wf_task_progress to_gen(std::uint32_t index, const task_progress& task) {
    gen::wf_task_progress to;
    to.index = static_cast<std::int32_t>(index);
    if (!task.failed_runs.empty()) {
        to.__set_failed_runs({task.failed_runs.begin(), task.failed_runs.end()});
    }
    if (task.last_run != 0) {
        to.__set_last_run(static_cast<std::int32_t>(task.last_run));
    }
    if (task.ended_run != 0) {
        to.__set_ended_run(static_cast<std::int32_t>(task.ended_run));
    }
    if (!task.checkpoint.empty()) {
        to.__set_checkpoint(task.checkpoint.value());
    }
    if (!task.worker.empty()) {
        to.__set_worker(task.worker.value());
    }
    return to;
}

gen::wf_step_progress to_gen(const step_progress& step) {
    gen::wf_step_progress to;
    to.occurrence = static_cast<std::int32_t>(step.occurrence);
    to.step = static_cast<std::int32_t>(step.step);
    to.tasks = static_cast<std::int32_t>(step.done.size());
    to.done = pack_bits(step.done);
    if (step.first != 0) {
        to.__set_first(static_cast<std::int32_t>(step.first));
    }
    for (const auto& [index, task] : step.open) {
        to.open.push_back(to_gen(index, task));
    }
    return to;
}

step_progress from_gen(const gen::wf_step_progress& from) {
    const auto tasks = count_of(from.tasks, "tasks");
    if (tasks > request_limits::max_tasks_per_step) {
        throw core::invalid_argument("tasks: has " + std::to_string(tasks) + ", the most are " +
                                     std::to_string(request_limits::max_tasks_per_step));
    }
    step_progress step{.occurrence = count_of(from.occurrence, "occurrence"),
                       .step = count_of(from.step, "step"),
                       .first = count_of(from.first, "first"),
                       .done = unpack_bits(from.done, tasks)};
    for (const auto& task : from.open) {
        step.open.emplace(count_of(task.index, "index"),
                          task_progress{.failed_runs = counts_of(task.failed_runs, "failed_runs"),
                                        .last_run = count_of(task.last_run, "last_run"),
                                        .ended_run = count_of(task.ended_run, "ended_run"),
                                        .checkpoint = checkpoint_id{task.checkpoint},
                                        .worker = core::worker_id{task.worker}});
    }
    return step;
}

keyed_record encode_one(const job_accepted& record) {
    gen::wf_accepted to;
    to.key = record.request.key.value();
    to.payload = record.request.payload;
    for (const auto& step : record.request.steps) {
        to.steps.push_back(to_gen(step));
    }
    if (record.request.recurs) {
        gen::wf_recurrence recurs;
        recurs.first = core::since_epoch(record.request.recurs->first).count();
        recurs.interval = record.request.recurs->interval.count();
        recurs.times = static_cast<std::int32_t>(record.request.recurs->times);
        to.__set_recurs(recurs);
    }
    to.policy = to_gen(record.policy);
    to.accepted_at = core::since_epoch(record.accepted_at).count();
    if (!record.team.empty()) {
        to.__set_team(record.team.value());
    }
    return {.key = key_of(accepted_key, to.key), .value = ledger::to_bytes(to)};
}

keyed_record encode_one(const job_cancelled& record) {
    return {.key = key_of(cancelled_key, record.key.value()), .value = cancelled_mark + record.team.value()};
}

std::vector<gen::wf_step_progress> to_gen(const std::vector<step_progress>& steps) {
    std::vector<gen::wf_step_progress> to;
    to.reserve(steps.size());
    for (const auto& step : steps) {
        to.push_back(to_gen(step));
    }
    return to;
}

std::vector<step_progress> from_gen(const std::vector<gen::wf_step_progress>& steps) {
    std::vector<step_progress> from;
    from.reserve(steps.size());
    for (const auto& step : steps) {
        from.push_back(from_gen(step));
    }
    return from;
}

keyed_record encode_one(const job_progress& record) {
    gen::wf_progress to;
    to.phase = static_cast<std::int8_t>(record.phase);
    if (!record.steps.empty()) {
        to.__set_steps(to_gen(record.steps));
    }
    if (!record.complete_occurrences.empty()) {
        to.__set_complete_occurrences(pack_bits(record.complete_occurrences));
        to.__set_occurrences(static_cast<std::int32_t>(record.complete_occurrences.size()));
    }
    if (record.in_parts) {
        to.__set_in_parts(true);
    }
    if (!record.team.empty()) {
        to.__set_team(record.team.value());
    }
    if (record.epoch.value() > 0) {
        to.__set_epoch(static_cast<std::int64_t>(record.epoch.value()));
    }
    return {.key = key_of(progress_key, record.key.value()), .value = ledger::to_bytes(to)};
}

std::string part_key_of(const job_key& job, const part_id& part) {
    return key_of(part_key, job.value()) + "." + std::to_string(part.occurrence) + "." +
           std::to_string(part.number);
}

keyed_record encode_one(const part_progress& record) {
    gen::wf_part to;
    to.steps = to_gen(record.steps);
    if (record.epoch.value() > 0) {
        to.__set_epoch(static_cast<std::int64_t>(record.epoch.value()));
    }
    return {.key = part_key_of(record.key, record.part),
            .value = record.steps.empty() ? std::string{} : ledger::to_bytes(to)};
}

keyed_record encode_one(const leader_record& record) {
    gen::wf_leader to;
    to.epoch = static_cast<std::int64_t>(record.epoch.value());
    to.leader = record.leader.value();
    to.__set_host(record.host.value());
    if (record.resigned) {
        to.__set_resigned(true);
    }
    return {.key = key_of(leader_key, ""), .value = ledger::to_bytes(to)};
}

keyed_record encode_one(const member_record& record) {
    gen::wf_member to;
    to.incarnation = record.incarnation.value();
    to.address = record.inner.address;
    to.port = record.inner.port;
    to.data_centre = record.data_centre.value();
    if (record.left) {
        to.__set_left(true);
    }
    if (record.processor_share > 0) {
        to.__set_processor_share(record.processor_share);
    }
    if (record.link_mbps > 0) {
        to.__set_link_mbps(record.link_mbps);
    }
    return {.key = key_of(member_key, record.host.value()), .value = ledger::to_bytes(to)};
}

/// @return the indexes that some of the workers have among all of them.
std::vector<std::int32_t> indexes_of(const std::set<core::worker_id>& some,
                                     const std::set<core::worker_id>& all) {
    std::vector<std::int32_t> indexes;
    std::int32_t index = 0;
    for (const auto& worker : all) {
        if (some.contains(worker)) {
            indexes.push_back(index);
        }
        index++;
    }
    return indexes;
}

/// @return the workers with some indexes.
/// @param field the name of the field that holds the indexes.
/// @throws core::invalid_argument if an index is not one of a worker.
std::set<core::worker_id> workers_at(const std::vector<std::int32_t>& indexes,
                                     const std::vector<std::string>& workers, const char* field) {
    std::set<core::worker_id> found;
    for (const auto index : indexes) {
        const auto place = count_of(index, field);
        if (place >= workers.size()) {
            throw core::invalid_argument(std::string{field} + ": " + std::to_string(index) +
                                         " is not the index of a worker");
        }
        found.emplace(workers[place]);
    }
    return found;
}

keyed_record encode_one(const roster_record& record) {
    gen::wf_roster to;
    for (const auto& worker : record.workers) {
        to.workers.push_back(worker.value());
    }
    if (!record.unreached.empty()) {
        to.__set_epoch(static_cast<std::int64_t>(record.epoch.value()));
        to.__set_unreached(indexes_of(record.unreached, record.workers));
    }
    if (!record.incarnations.empty()) {
        std::vector<std::int64_t> incarnations;
        for (const auto& worker : record.workers) {
            const auto known = record.incarnations.find(worker);
            incarnations.push_back(
                known == record.incarnations.end() ? 0 : static_cast<std::int64_t>(known->second.value()));
        }
        to.__set_incarnations(incarnations);
    }
    if (!record.restarted.empty()) {
        to.__set_restarted(indexes_of(record.restarted, record.workers));
    }
    return {.key = key_of(roster_key, ""), .value = ledger::to_bytes(to)};
}

cell_record decode_accepted(const keyed_record& bytes) {
    const auto from = ledger::from_bytes<gen::wf_accepted>(bytes.value);
    job_accepted record;
    record.request.key = job_key{from.key};
    record.request.queue = queue_id{from.policy.queue};
    record.request.payload = from.payload;
    for (const auto& step : from.steps) {
        record.request.steps.push_back(from_gen(step));
    }
    if (from.__isset.recurs) {
        record.request.recurs =
            recurrence{.first = core::from_epoch(milliseconds_of(from.recurs.first, "first")),
                       .interval = milliseconds_of(from.recurs.interval, "interval"),
                       .times = count_of(from.recurs.times, "times")};
    }
    record.policy = from_gen(from.policy);
    record.accepted_at = core::from_epoch(milliseconds_of(from.accepted_at, "accepted_at"));
    record.team = core::team_id{from.team};
    record.request.check();
    return record;
}

cell_record decode_cancelled(const std::string& name, const std::string& value) {
    return job_cancelled{.key = job_key{name}, .team = core::team_id{value.substr(1)}};
}

/// @return the epoch of a record of progress; 0 if the record names none.
/// @throws core::invalid_argument if it is negative.
core::epoch_id epoch_of(std::int64_t epoch) {
    if (epoch < 0) {
        throw core::invalid_argument("epoch: expected 0 or more, got " + std::to_string(epoch));
    }
    return core::epoch_id{static_cast<std::uint64_t>(epoch)};
}

cell_record decode_progress(const std::string& name, const std::string& value) {
    const auto from = ledger::from_bytes<gen::wf_progress>(value);
    if (from.phase < 0 || from.phase > static_cast<std::int8_t>(job_phase::cancelled)) {
        throw core::invalid_argument("job phase: unknown value " + std::to_string(from.phase));
    }
    const auto occurrences = count_of(from.occurrences, "occurrences");
    if (occurrences > request_limits::max_occurrences) {
        throw core::invalid_argument("occurrences: has " + std::to_string(occurrences) + ", the most are " +
                                     std::to_string(request_limits::max_occurrences));
    }
    return job_progress{.key = job_key{name},
                        .phase = static_cast<job_phase>(from.phase),
                        .steps = from_gen(from.steps),
                        .complete_occurrences = unpack_bits(from.complete_occurrences, occurrences),
                        .in_parts = from.in_parts,
                        .team = core::team_id{from.team},
                        .epoch = epoch_of(from.epoch)};
}

cell_record decode_part(const std::string& name, const std::string& value) {
    std::string_view job = name;
    const auto number = take_last_number(job);
    const auto occurrence = number ? take_last_number(job) : std::nullopt;
    if (!occurrence) {
        throw core::invalid_argument("expected a part JOB.OCCURRENCE.NUMBER, got '" + name + "'");
    }
    part_progress record{.key = job_key{std::string{job}},
                         .part = {.occurrence = *occurrence, .number = *number}};
    if (!value.empty()) {
        const auto from = ledger::from_bytes<gen::wf_part>(value);
        record.steps = from_gen(from.steps);
        record.epoch = epoch_of(from.epoch);
    }
    return record;
}

cell_record decode_member(const std::string& name, const std::string& value) {
    const auto from = ledger::from_bytes<gen::wf_member>(value);
    return member_record{
        .host = core::host_id{name},
        .incarnation = core::incarnation_id{from.incarnation},
        .inner = {.address = from.address, .port = static_cast<std::uint16_t>(from.port), .path = ""},
        .data_centre = core::data_centre_id{from.data_centre},
        .left = from.left,
        .processor_share = from.processor_share,
        .link_mbps = from.link_mbps};
}

cell_record decode_roster(const std::string& value) {
    const auto from = ledger::from_bytes<gen::wf_roster>(value);
    roster_record record;
    for (const auto& worker : from.workers) {
        record.workers.emplace(worker);
    }
    record.epoch = core::epoch_id{static_cast<std::uint64_t>(from.epoch)};
    record.unreached = workers_at(from.unreached, from.workers, "unreached");
    if (from.incarnations.size() > from.workers.size()) {
        throw core::invalid_argument("incarnations: more than there are workers");
    }
    for (std::size_t i = 0; i < from.incarnations.size(); i++) {
        if (from.incarnations[i] != 0) {
            const auto incarnation = static_cast<std::uint64_t>(from.incarnations[i]);
            record.incarnations.emplace(from.workers[i], worker_incarnation_id{incarnation});
        }
    }
    for (const auto& worker : workers_at(from.restarted, from.workers, "restarted")) {
        if (record.incarnations.contains(worker)) {
            record.restarted.insert(worker);
        }
    }
    return record;
}

cell_record decode_leader(const std::string& value) {
    const auto from = ledger::from_bytes<gen::wf_leader>(value);
    return leader_record{.epoch = core::epoch_id{static_cast<std::uint64_t>(from.epoch)},
                         .host = core::host_id{from.host},
                         .leader = core::incarnation_id{from.leader},
                         .resigned = from.resigned};
}

} // namespace

std::vector<cell::keyed_record> encode_record(const workflow::cell_record& record) {
    if (const auto* forgotten = std::get_if<job_forgotten>(&record)) {
        const auto& name = forgotten->key.value();
        std::vector<cell::keyed_record> items;
        for (const auto& part : forgotten->parts) {
            items.push_back({.key = part_key_of(forgotten->key, part), .value = ""});
        }
        for (const auto kind : {accepted_key, cancelled_key, progress_key}) {
            items.push_back({.key = key_of(kind, name), .value = ""});
        }
        return items;
    }
    return {std::visit(
        [](const auto& one) -> keyed_record {
            if constexpr (std::is_same_v<std::decay_t<decltype(one)>, job_closed>) {
                return {.key = key_of(accepted_key, one.key.value()), .value = ""};
            } else if constexpr (std::is_same_v<std::decay_t<decltype(one)>, job_forgotten>) {
                return {};
            } else {
                return encode_one(one);
            }
        },
        record)};
}

workflow::cell_record decode_record(const cell::keyed_record& bytes) {
    const auto kind = bytes.key.empty() ? '\0' : bytes.key.front();
    const auto name = bytes.key.empty() ? "" : bytes.key.substr(1);
    const bool dropped = bytes.value.empty();
    if (dropped && kind == accepted_key) {
        return job_closed{job_key{name}};
    }
    if (dropped && (kind == cancelled_key || kind == progress_key)) {
        return job_forgotten{job_key{name}};
    }
    switch (kind) {
    case accepted_key:
        return decode_accepted(bytes);
    case cancelled_key:
        return decode_cancelled(name, bytes.value);
    case progress_key:
        return decode_progress(name, bytes.value);
    case part_key:
        return decode_part(name, bytes.value);
    case leader_key:
        return decode_leader(bytes.value);
    case member_key:
        return decode_member(name, bytes.value);
    case roster_key:
        return decode_roster(bytes.value);
    default:
        throw core::invalid_argument("record with unknown key '" + bytes.key + "'");
    }
}

} // namespace rattanmount::inner
