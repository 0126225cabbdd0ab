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

/// The kinds of work, which differ in how they are queued, placed and terminated.
enum class work_kind : std::uint8_t {
    quick,   ///< One request that an executor serves while the caller waits.
    batch,   ///< Tasks that run on workers; each starts as soon as there is capacity for it.
    gang,    ///< Tasks that start all together or not at all.
    service, ///< Tasks that run until they are cancelled and are restarted when they end.
};

/// A job as its caller submitted it. Never changes afterwards; every field is part of the fingerprint.
struct job_spec {
    job_id id;
    pool_id pool;
    work_kind kind = work_kind::batch;
    std::uint32_t tasks = 1;
    resources each;                    ///< The resources that the caller requests for one task.
    milliseconds expected_run_time{0}; ///< As declared by the caller; 0: not known.
    bool idempotent = true;            ///< false: each task is run at most once, whatever fails.
    std::uint32_t max_attempts = 3;    ///< Attempts at one task before the job fails; 1 if not idempotent.
    service_id service;                ///< For quick work: the service whose executors serve it.
    std::string payload;               ///< Opaque to the scheduler.

    friend bool operator==(const job_spec&, const job_spec&) = default;

    /// @return a text that differs if any field differs; used to detect a key that is reused for another job.
    [[nodiscard]] std::string fingerprint() const;

    /// Checks each field and the fields against each other, without knowledge of pools or workers.
    /// @throws core::invalid_argument naming the field and what is wrong with it.
    void check() const;
};

/// Upper limits for one job; a job that exceeds them is refused before anything is recorded.
struct job_limits {
    static constexpr std::uint32_t max_tasks = 1000;
    static constexpr std::size_t max_payload_bytes = 65536;
    static constexpr std::size_t max_name_bytes = 128;
    static constexpr std::uint32_t max_attempts = 100;
};

/// The phase of a task according to the log.
enum class task_phase : std::uint8_t {
    waiting, ///< Not started, or its last attempt has certainly ended.
    started, ///< An attempt is recorded and is not known to have ended.
    ended,   ///< Ended; no further attempt is made.
};

/// How an attempt at a task ended.
enum class attempt_end : std::uint8_t {
    finished, ///< The worker reported success.
    failed,   ///< The worker reported a failure.
    refused,  ///< The worker refused the start: nothing ran.
    lost,     ///< Ended without a report, for example because lease and task hold time have expired.
    stopped,  ///< Stopped on request.
};

/// The status of a job as returned to callers.
struct job_status {
    job_spec spec;
    system_time accepted_at;
    std::optional<outcome> ended; ///< Empty while the job is waiting or running.
    std::string reason;           ///< The reason for its outcome, or what it waits for.
    std::uint32_t tasks_waiting = 0;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_ended = 0;
    std::vector<std::string> places; ///< For each running task: "task 0 on worker w1 since ...".
};

} // namespace rattanmount::core
