#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::workflow {

/// Name of a job, chosen by the caller. A repeated submission under the same name is the same job.
using job_key = core::text_id<struct job_key_tag>;
/// Name of the queue to which a job was submitted.
using queue_id = core::text_id<struct queue_id_tag>;
/// Identifies the program that the tasks of a step run; tasks with the same image behave alike.
using image_id = core::text_id<struct image_id_tag>;
/// Label of a worker, such as its kind.
using worker_label = core::text_id<struct worker_label_tag>;
/// Identifies an incarnation of a worker: a worker that restarts under the same name has no state from
/// before.
using worker_incarnation_id = core::number_id<struct worker_incarnation_id_tag>;
/// Identifies the saved progress of a task; opaque to the scheduler, empty if there is none.
using checkpoint_id = core::text_id<struct checkpoint_id_tag>;

/// A step of a job: identical tasks that may start once the earlier steps that it depends on are done.
struct step_request {
    std::uint32_t tasks = 1;
    core::resources each;             ///< Declared resources of one task.
    core::milliseconds estimate{0};   ///< Estimated run time of one task; 0: not known.
    std::vector<std::uint32_t> after; ///< Indexes of the earlier steps that must be done first.
    bool checkpoints = false;         ///< Tasks save checkpoints and can be resumed from them.
    bool gang = false;                ///< Tasks make progress only while all of them run.
    bool one_rack = false;            ///< Tasks of the gang are slower if they span several racks.
    /// A task may have several runs at a time; the first to succeed counts.
    bool allows_copies = false;
    bool long_running = false; ///< Tasks run until the job is cancelled; if they end, they are restarted.
    /// Best effort: its processors are not reserved; it uses what other tasks leave.
    bool uses_leftover = false;
    worker_label required_label; ///< Label that the worker must have; empty: any worker.
    core::rack_id data_rack;     ///< Rack of its data; tasks are slower on other racks. Empty: no preference.
    std::uint32_t most_per_worker = 0; ///< Limit of tasks of the step per worker; 0: no limit.
    /// Number of long-running tasks that the scheduler may take down at a time. Recorded; not used by the
    /// dispatcher.
    std::uint32_t may_be_away = 0;
    image_id image; ///< Empty: not known. Recorded; not used by the dispatcher.
    /// Limit of the tail latency that users of a long-running task see; 0: none. Recorded; not used by the
    /// dispatcher.
    core::milliseconds latency_limit{0};

    friend bool operator==(const step_request&, const step_request&) = default;
};

/// Schedule of a recurring job.
struct recurrence {
    core::system_time first;
    core::milliseconds interval{0};
    std::uint32_t times = 1;

    friend bool operator==(const recurrence&, const recurrence&) = default;
};

/// A job as submitted by a caller.
struct job_request {
    job_key key;
    queue_id queue;
    std::string payload; ///< Opaque to the scheduler; passed to each task.
    std::vector<step_request> steps;
    std::optional<recurrence> recurs; ///< Empty: runs once, immediately.

    friend bool operator==(const job_request&, const job_request&) = default;

    /// @return the number of times that the steps run.
    [[nodiscard]] std::uint32_t occurrences() const { return this->recurs ? this->recurs->times : 1; }

    /// @return whether one of its steps runs until the job is cancelled.
    [[nodiscard]] bool long_running() const;

    /// Validates the fields and the limits of a job.
    /// @throws core::invalid_argument with the field and the fault.
    void check() const;
};

/// Upper limits of a job. A job that exceeds them is refused before anything is recorded.
struct request_limits {
    static constexpr std::size_t max_steps = 64;
    static constexpr std::uint32_t max_tasks_per_step = 2000;
    static constexpr std::size_t max_payload_bytes = 65536;
    static constexpr std::uint32_t max_occurrences = 10000;
};

} // namespace rattanmount::workflow
