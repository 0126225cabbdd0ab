#pragma once

#include "ledger/records.h"

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::test {

using random_engine = std::mt19937;

/// @return a number from 0 to limit - 1.
inline std::size_t pick(random_engine& random, std::size_t limit) {
    return random() % limit;
}

inline bool chance(random_engine& random, std::size_t percent) {
    return pick(random, 100) < percent;
}

inline core::job_id job_named(const std::string& key) {
    return {.team = core::team_id{"tabua"}, .key = core::request_key{key}};
}

inline core::system_time at_second(std::int64_t seconds) {
    return core::from_epoch(std::chrono::seconds{1'796'000'000 + seconds});
}

inline core::job_spec spec_of(const std::string& key, std::uint32_t tasks = 1, bool idempotent = true) {
    core::job_spec spec;
    spec.id = job_named(key);
    spec.pool = core::pool_id{"overnight"};
    spec.kind = core::work_kind::batch;
    spec.tasks = tasks;
    spec.each = {.millicores = 1500, .memory_mb = 2048, .accelerators = 0};
    spec.expected_run_time = std::chrono::seconds{90};
    spec.idempotent = idempotent;
    spec.max_attempts = idempotent ? 3 : 1;
    spec.payload = "sheet " + key;
    return spec;
}

inline ledger::job_accepted accepted(const std::string& key, std::uint32_t tasks = 1,
                                     bool idempotent = true) {
    return {.spec = spec_of(key, tasks, idempotent), .at = at_second(0)};
}

inline core::attempt_id attempt_of(const std::string& key, std::uint32_t task, std::uint32_t attempt) {
    return {.job = job_named(key), .task = task, .attempt = attempt};
}

inline ledger::task_started started(const std::string& key, std::uint32_t task, std::uint32_t attempt) {
    return {.attempt = attempt_of(key, task, attempt), .place = "w1", .at = at_second(1)};
}

inline ledger::task_ended ended(const std::string& key, std::uint32_t task, std::uint32_t attempt,
                                core::attempt_end end) {
    return {.attempt = attempt_of(key, task, attempt), .end = end, .reason = "", .at = at_second(2)};
}

inline ledger::job_ended job_over(const std::string& key, core::outcome result = core::outcome::completed) {
    return {.job = job_named(key), .result = result, .reason = "done", .at = at_second(3)};
}

inline ledger::shard_claimed claim_of(std::uint64_t previous, const std::string& host) {
    return {.previous = core::epoch_id{previous}, .host = core::host_id{host}};
}

inline ledger::record_batch batch_of(const std::string& producer, std::uint64_t sequence, std::uint64_t epoch,
                                     std::vector<ledger::record> records) {
    return {.producer = core::incarnation_id{producer},
            .sequence = core::sequence_number{sequence},
            .epoch = core::epoch_id{epoch},
            .records = std::move(records)};
}

/// @return a random record about one of a few jobs. Many are not valid in the state that they are applied to.
inline ledger::record random_job_record(random_engine& random) {
    constexpr std::size_t jobs = 12;
    constexpr std::uint32_t tasks = 3;
    const std::string key = "job-" + std::to_string(pick(random, jobs));
    const auto task = static_cast<std::uint32_t>(pick(random, tasks));
    const auto attempt = static_cast<std::uint32_t>(1 + pick(random, 4));
    switch (pick(random, 12)) {
    case 0:
    case 1:
    case 2:
        return accepted(key, static_cast<std::uint32_t>(1 + pick(random, tasks)), chance(random, 70));
    case 3:
    case 4:
    case 5:
        return started(key, task, attempt);
    case 6:
    case 7:
        return ended(key, task, attempt, static_cast<core::attempt_end>(pick(random, 5)));
    case 8:
        return job_over(key, static_cast<core::outcome>(pick(random, 4)));
    case 9:
        return ledger::job_cancelled{.job = job_named(key), .at = at_second(4)};
    case 10:
        return ledger::job_moved{.job = job_named(key), .to = core::shard_id{pick(random, 3)}};
    default:
        return chance(random, 50) ? ledger::record{ledger::move_confirmed{.job = job_named(key)}}
                                  : ledger::record{ledger::job_forgotten{.job = job_named(key)}};
    }
}

} // namespace rattanmount::test
