#include "ledger/shard_state_machine.h"

#include "core/errors.h"
#include "ledger/generated_values.h"
#include "ledger/job_conversion.h"
#include "ledger/thrift_bytes.h"

#include <algorithm>
#include <utility>

namespace rattanmount::ledger {

namespace {

/// Producers whose last sequence number is kept: the owner and the owners before it.
constexpr std::size_t max_producers = 32;

template <typename Kind>
const Kind* only_record(const record_batch& batch) {
    return batch.records.size() == 1 ? std::get_if<Kind>(&batch.records.front()) : nullptr;
}

/// Returns whether the task may get another attempt. Work that is not idempotent is never started again once
/// an attempt may have run.
bool may_start(const job_entry& job, const task_entry& task) {
    if (task.phase != core::task_phase::waiting) {
        return false;
    }
    return job.spec.idempotent || !task.last_end || *task.last_end == core::attempt_end::refused;
}

bool never_started(const job_entry& job) {
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const task_entry& task) { return task.attempt == 0; });
}

/// Overhead of the allocator per allocation.
constexpr std::size_t allocation_bytes = sizeof(void*);

std::size_t heap_bytes(const std::string& text) {
    constexpr std::size_t inline_capacity = 15; // libstdc++ stores shorter strings without an allocation.
    return text.capacity() > inline_capacity ? text.capacity() + 1 + allocation_bytes : 0;
}

std::size_t memory_of(const task_entry& task) {
    return sizeof(task) + heap_bytes(task.place) + heap_bytes(task.last_reason);
}

std::size_t memory_of(const core::job_id& id) {
    return heap_bytes(id.team.value()) + heap_bytes(id.key.value());
}

std::size_t memory_of(const job_entry& job) {
    constexpr std::size_t node_bytes = 2 * sizeof(void*) + sizeof(std::size_t) + 2 * allocation_bytes;
    std::size_t sum = node_bytes + sizeof(core::job_id) + sizeof(job) + 2 * memory_of(job.spec.id);
    sum += heap_bytes(job.spec.pool.value()) + heap_bytes(job.spec.service.value());
    sum += heap_bytes(job.spec.payload) + heap_bytes(job.reason);
    for (const task_entry& task : job.tasks) {
        sum += memory_of(task);
    }
    return sum;
}

} // namespace

shard_state_machine::shard_state_machine(core::shard_id shard, shard_state_machine_options options)
    : id(shard), options(options), producers(max_producers) {}

shard_state_machine::apply_result shard_state_machine::apply(core::log_offset offset,
                                                             const record_batch& batch) {
    if (this->base_known && offset < this->next_offset) {
        return apply_result::duplicate;
    }
    if (!this->advance(offset, batch)) {
        return apply_result::no_base_state;
    }
    if (this->producers.is_duplicate(batch.producer, batch.sequence)) {
        return apply_result::duplicate;
    }
    return this->apply_records(offset, batch);
}

bool shard_state_machine::is_applied(apply_result result) {
    return result == apply_result::applied || result == apply_result::duplicate;
}

const job_entry* shard_state_machine::find(const core::job_id& job) const {
    const auto found = this->entries.find(job);
    return found == this->entries.end() ? nullptr : &found->second;
}

void shard_state_machine::reset() {
    this->clear();
    this->base_known = false;
    this->next_offset = core::log_offset{};
}

std::string shard_state_machine::state() const {
    gen::shard_state_data data;
    data.shard = static_cast<std::int64_t>(this->id.value());
    data.epoch = static_cast<std::int64_t>(this->current_epoch.value());
    if (this->current_owner) {
        data.__set_owner_host(this->current_owner->host.value());
        data.__set_owner_incarnation(this->current_owner->incarnation.value());
    }
    data.producers = to_generated(this->producers);
    std::vector<const job_entry*> sorted;
    sorted.reserve(this->entries.size());
    for (const auto& [job, entry] : this->entries) {
        sorted.push_back(&entry);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const job_entry* left, const job_entry* right) { return left->spec.id < right->spec.id; });
    data.jobs.reserve(sorted.size());
    for (const job_entry* entry : sorted) {
        data.jobs.push_back(to_generated(*entry));
    }
    return to_bytes(data);
}

std::size_t shard_state_machine::memory_bytes() const {
    std::size_t sum = sizeof(*this) + this->entries.bucket_count() * sizeof(void*);
    for (const auto& [job, entry] : this->entries) {
        sum += memory_of(entry);
    }
    return sum;
}

/// Advances next_offset past the entry, and loads the entry if it is the first snapshot after a gap.
/// @return whether the batch is to be applied.
bool shard_state_machine::advance(core::log_offset offset, const record_batch& batch) {
    const bool follows = this->base_known && offset == this->next_offset;
    this->next_offset = offset.next();
    if (follows) {
        return true;
    }
    this->clear();
    this->base_known = offset == core::log_offset{} || this->load_snapshot(offset, batch);
    return this->base_known;
}

/// Loads the state from a batch that holds a snapshot.
/// @return whether the batch is a snapshot that was taken at its own offset, by the owner of the shard.
bool shard_state_machine::load_snapshot(core::log_offset offset, const record_batch& batch) {
    const auto* snapshot = only_record<snapshot_taken>(batch);
    if (snapshot == nullptr || snapshot->at != offset) {
        return false;
    }
    try {
        this->load(snapshot->state);
    } catch (const core::invalid_argument&) {
        this->clear();
        return false;
    }
    if (this->owned_by(batch)) {
        return true;
    }
    this->clear();
    return false;
}

void shard_state_machine::load(const std::string& state) {
    auto data = from_bytes<gen::shard_state_data>(state);
    if (static_cast<std::uint64_t>(data.shard) != this->id.value()) {
        throw core::invalid_argument("expected a snapshot of shard " + std::to_string(this->id.value()) +
                                     ", got one of shard " + std::to_string(data.shard));
    }
    this->clear();
    this->current_epoch = core::epoch_id{static_cast<std::uint64_t>(data.epoch)};
    if (data.__isset.owner_incarnation) {
        this->current_owner =
            shard_owner{.host = core::host_id{std::move(data.owner_host)},
                        .incarnation = core::incarnation_id{std::move(data.owner_incarnation)}};
    }
    from_generated(data.producers, this->producers);
    this->entries.reserve(data.jobs.size());
    for (gen::job_entry_data& job : data.jobs) {
        job_entry entry = from_generated(std::move(job));
        core::job_id key = entry.spec.id;
        this->entries.emplace(std::move(key), std::move(entry));
    }
}

void shard_state_machine::clear() {
    this->current_epoch = core::epoch_id{};
    this->current_owner.reset();
    this->producers.clear();
    this->entries.clear();
}

shard_state_machine::apply_result shard_state_machine::apply_records(core::log_offset offset,
                                                                     const record_batch& batch) {
    if (batch.records.empty()) {
        return this->owned_by(batch) ? apply_result::applied : apply_result::stale;
    }
    apply_result result = apply_result::applied;
    bool any_applied = false;
    for (const record& item : batch.records) {
        const apply_result one = this->apply_record(offset, batch, item);
        any_applied = any_applied || one == apply_result::applied;
        result = result == apply_result::applied ? one : result;
    }
    if (any_applied) {
        this->producers.mark_applied(batch.producer, batch.sequence);
    }
    return result;
}

shard_state_machine::apply_result
shard_state_machine::apply_record(core::log_offset offset, const record_batch& batch, const record& item) {
    if (const auto* claimed = std::get_if<shard_claimed>(&item)) {
        return this->claim(batch, *claimed) ? apply_result::applied : apply_result::lost_claim;
    }
    const auto* snapshot = std::get_if<snapshot_taken>(&item);
    if (!this->owned_by(batch) || (snapshot != nullptr && snapshot->at != offset)) {
        return apply_result::stale;
    }
    std::visit([this](const auto& kind) { this->handle(kind); }, item);
    return apply_result::applied;
}

bool shard_state_machine::claim(const record_batch& batch, const shard_claimed& claimed) {
    if (claimed.previous != this->current_epoch) {
        return false;
    }
    this->current_epoch = this->current_epoch.next();
    this->current_owner = shard_owner{.host = claimed.host, .incarnation = batch.producer};
    return true;
}

bool shard_state_machine::owned_by(const record_batch& batch) const {
    return this->current_owner && this->current_owner->incarnation == batch.producer &&
           batch.epoch == this->current_epoch;
}

/// @return the job, or null if it is not known, has ended or was moved to another shard.
job_entry* shard_state_machine::open_job(const core::job_id& job) {
    const auto found = this->entries.find(job);
    if (found == this->entries.end() || found->second.ended || found->second.moved_to) {
        return nullptr;
    }
    return &found->second;
}

/// @return the task of the attempt; null if its job is not open or has no such task.
task_entry* shard_state_machine::open_task(const core::attempt_id& attempt) {
    job_entry* job = this->open_job(attempt.job);
    if (job == nullptr || attempt.task >= job->tasks.size()) {
        return nullptr;
    }
    return &job->tasks[attempt.task];
}

void shard_state_machine::handle(const shard_released&) {
    this->current_owner.reset();
}

void shard_state_machine::handle(const job_accepted& accepted) {
    const std::uint32_t tasks = accepted.spec.tasks;
    if (tasks == 0 || tasks > core::job_limits::max_tasks || this->entries.contains(accepted.spec.id)) {
        return;
    }
    job_entry entry;
    entry.spec = accepted.spec;
    entry.accepted_at = accepted.at;
    entry.tasks.resize(tasks);
    this->entries.emplace(accepted.spec.id, std::move(entry));
}

void shard_state_machine::handle(const task_started& started) {
    job_entry* job = this->open_job(started.attempt.job);
    task_entry* task = this->open_task(started.attempt);
    if (task == nullptr || job->cancelled || !may_start(*job, *task)) {
        return;
    }
    if (started.attempt.attempt <= task->attempt) {
        return;
    }
    task->phase = core::task_phase::started;
    task->attempt = started.attempt.attempt;
    task->place = started.place;
    task->started_at = started.at;
}

void shard_state_machine::handle(const task_ended& ended) {
    task_entry* task = this->open_task(ended.attempt);
    if (task == nullptr || task->phase != core::task_phase::started ||
        task->attempt != ended.attempt.attempt) {
        return;
    }
    const bool for_good = ended.end == core::attempt_end::finished &&
                          this->entries.at(ended.attempt.job).spec.kind != core::work_kind::service;
    task->phase = for_good ? core::task_phase::ended : core::task_phase::waiting;
    task->last_end = ended.end;
    task->last_reason = ended.reason;
    if (ended.end == core::attempt_end::failed || ended.end == core::attempt_end::lost) {
        ++task->failures;
    }
}

void shard_state_machine::handle(const job_ended& ended) {
    job_entry* job = this->open_job(ended.job);
    if (job == nullptr) {
        return;
    }
    job->ended = ended.result;
    job->reason = ended.reason;
    job->ended_at = ended.at;
    for (task_entry& task : job->tasks) {
        task.phase = core::task_phase::ended;
        task.place = std::string{};
    }
    if (!this->options.keep_ended_payloads) {
        job->drop_payload();
    }
}

void shard_state_machine::handle(const job_cancelled& cancelled) {
    job_entry* job = this->open_job(cancelled.job);
    if (job != nullptr) {
        job->cancelled = true;
    }
}

void shard_state_machine::handle(const job_moved& moved) {
    job_entry* job = this->open_job(moved.job);
    if (job == nullptr || job->cancelled || moved.to == this->id || !never_started(*job)) {
        return;
    }
    job->moved_to = moved.to;
}

void shard_state_machine::handle(const move_confirmed& confirmed) {
    const auto found = this->entries.find(confirmed.job);
    if (found != this->entries.end() && found->second.moved_to) {
        found->second.move_confirmed = true;
    }
}

void shard_state_machine::handle(const job_forgotten& forgotten) {
    const auto found = this->entries.find(forgotten.job);
    if (found != this->entries.end() && (found->second.ended || found->second.move_confirmed)) {
        this->entries.erase(found);
    }
}

} // namespace rattanmount::ledger
