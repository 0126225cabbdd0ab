#include "ledger/codec.h"
#include "ledger/config_state_machine.h"
#include "ledger/shard_state_machine.h"

#include <benchmark/benchmark.h>

#include <cstddef>
#include <cstdint>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace rattanmount;

constexpr std::size_t jobs_per_day = 16'000;
constexpr std::size_t notes_per_day = 650;
constexpr std::size_t records_per_batch = 16; ///< Size of a group commit at peak load.
constexpr std::size_t payload_bytes = 64;

core::system_time time_at(std::size_t count) {
    return core::from_epoch(core::milliseconds{1'796'000'000'000 + static_cast<std::int64_t>(count)});
}

ledger::job_accepted make_accepted(const core::job_id& id, std::size_t index) {
    core::job_spec spec;
    spec.id = id;
    spec.pool = core::pool_id{"print-overnight"};
    spec.each = {.millicores = 1500, .memory_mb = 2048};
    spec.expected_run_time = std::chrono::seconds{90};
    spec.payload = std::string(payload_bytes, 'p');
    return {.spec = spec, .at = time_at(index)};
}

/// Returns the records of a job from acceptance to end.
std::vector<ledger::record> records_of(std::size_t index) {
    const core::job_id id{.team = core::team_id{"team-" + std::to_string(index % 160)},
                          .key = core::request_key{"sheets-2026-" + std::to_string(1'000'000 + index)}};
    const core::attempt_id attempt{.job = id, .task = 0, .attempt = 1};
    return {make_accepted(id, index),
            ledger::task_started{.attempt = attempt, .place = "suva-w17", .at = time_at(index + 100)},
            ledger::task_ended{.attempt = attempt, .at = time_at(index + 90'000)},
            ledger::job_ended{.job = id, .at = time_at(index + 90'000)}};
}

/// The entries of a stream as the log service stores them.
struct stream_bytes {
    std::vector<std::string> entries;
    std::size_t records = 0;
    std::size_t bytes = 0;

    void append(ledger::record_batch& batch) {
        batch.sequence = core::sequence_number{this->entries.size() + 1};
        this->entries.push_back(ledger::encode(batch));
        this->records += batch.records.size();
        this->bytes += this->entries.back().size();
        batch.records.clear();
    }
};

stream_bytes shard_stream(std::size_t jobs) {
    stream_bytes stream;
    ledger::record_batch batch{.producer = core::incarnation_id{"suva-1/5f0c9a"}};
    batch.records = {ledger::shard_claimed{.previous = core::epoch_id{0}, .host = core::host_id{"suva-1"}}};
    stream.append(batch);
    batch.epoch = core::epoch_id{1};
    for (std::size_t index = 0; index < jobs; ++index) {
        for (ledger::record& item : records_of(index)) {
            batch.records.push_back(std::move(item));
        }
        if (batch.records.size() >= records_per_batch || index + 1 == jobs) {
            stream.append(batch);
        }
    }
    return stream;
}

stream_bytes config_stream(std::size_t notes) {
    constexpr std::size_t pools = 40;
    stream_bytes stream;
    ledger::record_batch batch{.producer = core::incarnation_id{"suva-1/5f0c9a"}};
    for (std::size_t index = 0; index < notes; ++index) {
        release::pool_policy pool;
        pool.name = core::pool_id{"pool-" + std::to_string(index % pools)};
        pool.priority = static_cast<std::uint32_t>(index % 1000);
        const bool is_new = index < pools;
        const release::note_item item{.change =
                                          is_new ? release::item_change::add : release::item_change::change,
                                      .replaces = core::revision_id{index / pools},
                                      .policy = pool};
        const release::release_note note{
            .id = core::note_id{"note-" + std::to_string(index)}, .author = "ana", .items = {item}};
        batch.records.emplace_back(ledger::note_proposed{.note = note, .at = time_at(index)});
        stream.append(batch);
    }
    return stream;
}

template <typename StateMachine>
void apply_all(StateMachine& state_machine, const stream_bytes& stream) {
    for (std::size_t offset = 0; offset < stream.entries.size(); ++offset) {
        state_machine.apply(core::log_offset{offset}, ledger::decode(stream.entries[offset]));
    }
}

/// Replays a day of the configuration stream and of a single shard that holds all jobs, as a new host does.
/// The argument is the length of the history in quarters of a day.
void fold_day(benchmark::State& state) {
    const auto quarters = static_cast<std::size_t>(state.range(0));
    const stream_bytes jobs = shard_stream(jobs_per_day * quarters / 4);
    const stream_bytes notes = config_stream(notes_per_day * quarters / 4);
    std::size_t memory = 0;
    std::size_t heap = 0;
    for (auto round : state) {
        const std::size_t heap_before = mallinfo2().uordblks;
        ledger::shard_state_machine shard{core::shard_id{1}};
        ledger::config_state_machine config;
        apply_all(shard, jobs);
        apply_all(config, notes);
        memory = shard.memory_bytes() + config.memory_bytes();
        heap = mallinfo2().uordblks - heap_before;
        benchmark::DoNotOptimize(memory);
        if (shard.jobs().size() != jobs_per_day * quarters / 4) {
            state.SkipWithError("the replayed state does not hold all jobs");
        }
    }
    state.counters["state_mb"] = static_cast<double>(memory) / 1e6;
    state.counters["heap_mb"] = static_cast<double>(heap) / 1e6;
    state.counters["job_record_bytes"] = static_cast<double>(jobs.bytes) / static_cast<double>(jobs.records);
    state.counters["note_bytes"] = static_cast<double>(notes.bytes) / static_cast<double>(notes.records);
    state.counters["log_mb"] = static_cast<double>(jobs.bytes + notes.bytes) / 1e6;
}

/// Encodes a snapshot of a day's jobs and restores the state from it. The argument is as for fold_day.
void snapshot_day(benchmark::State& state) {
    const auto quarters = static_cast<std::size_t>(state.range(0));
    const stream_bytes jobs = shard_stream(jobs_per_day * quarters / 4);
    ledger::shard_state_machine shard{core::shard_id{1}};
    apply_all(shard, jobs);
    std::size_t bytes = 0;
    for (auto round : state) {
        const ledger::record_batch batch{
            .producer = core::incarnation_id{"suva-1/5f0c9a"},
            .sequence = core::sequence_number{jobs.entries.size() + 1},
            .epoch = core::epoch_id{1},
            .records = {ledger::snapshot_taken{.state = shard.state(), .at = shard.next()}}};
        const std::string entry = ledger::encode(batch);
        ledger::shard_state_machine restored{core::shard_id{1}};
        restored.reset();
        restored.apply(shard.next(), ledger::decode(entry));
        bytes = entry.size();
        if (!restored.has_base_state()) {
            state.SkipWithError("the state was not restored from the snapshot");
        }
    }
    state.counters["snapshot_mb"] = static_cast<double>(bytes) / 1e6;
}

} // namespace

BENCHMARK(fold_day)->Arg(1)->Arg(4)->Arg(16)->Unit(benchmark::kMillisecond);
BENCHMARK(snapshot_day)->Arg(1)->Arg(4)->Arg(16)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
