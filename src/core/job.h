#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::core {

/// The kinds of work, which differ in how they are queued, placed and ended.
enum class work_kind : std::uint8_t {
    quick,   ///< One request to an executor while the caller waits.
    batch,   ///< Tasks that run on workers, each when there is room.
    gang,    ///< Tasks that start all together or not at all.
    service, ///< Tasks that run until they are cancelled and are started again when they end.
};

/// What a caller asks for. The same for its whole life; every field is part of its fingerprint.
struct job_spec {
    job_id id;
    pool_id pool;
    work_kind kind = work_kind::batch;
    std::uint32_t tasks = 1;
    resources each;                    ///< What one task takes, as declared.
    milliseconds expected_run_time{0}; ///< As declared; 0: not known.
    bool idempotent = true;            ///< false: runs at most once, whatever fails.
    std::uint32_t max_attempts = 3;    ///< Tries at one task before the job fails; 1 where not idempotent.
    service_id service;                ///< For quick work: the service whose executors take it.
    std::string payload;               ///< Opaque to the scheduler.

    friend bool operator==(const job_spec&, const job_spec&) = default;

    /// @return a text that differs where any field differs; compared to find a key used twice.
    [[nodiscard]] std::string fingerprint() const;

    /// Checks the fields against each other, without knowledge of pools or workers.
    /// @throws core::invalid_argument with the field and what is wrong with it.
    void check() const;
};

/// Upper limits of what one job may ask for; more is refused before anything is recorded.
struct job_limits {
    static constexpr std::uint32_t max_tasks = 1000;
    static constexpr std::size_t max_payload_bytes = 65536;
    static constexpr std::size_t max_name_bytes = 128;
    static constexpr std::uint32_t max_attempts = 100;
};

/// How far a task is, as the log has it.
enum class task_phase : std::uint8_t {
    waiting, ///< Not started, or its last attempt is surely over.
    started, ///< An attempt is recorded and not known to be over.
    ended,   ///< Over for good.
};

/// How an attempt at a task came to its end.
enum class attempt_end : std::uint8_t {
    finished, ///< The worker reports success.
    failed,   ///< The worker reports a failure.
    refused,  ///< The worker refused the start: nothing ran.
    lost,     ///< The worker's lease lapsed, so the attempt is over, with no report.
    stopped,  ///< Stopped on request.
};

/// Where a job stands, as told to callers.
struct job_status {
    job_spec spec;
    system_time accepted_at;
    std::optional<outcome> ended; ///< Empty while the job is waiting or running.
    std::string reason;           ///< Why it ended so, or what it waits for.
    std::uint32_t tasks_waiting = 0;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_ended = 0;
    std::vector<std::string> places; ///< For each running task: "task 0 on worker w1 since ...".
};

} // namespace rattanmount::core
