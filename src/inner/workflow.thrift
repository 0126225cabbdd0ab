/**
 * The records in a cell's log for jobs with steps.
 *
 * Durations are in milliseconds unless the name states another unit, points in time in milliseconds since
 * the Unix epoch. Fields that are not set have the value 0, false or empty.
 * Regenerate with: thrift -r --gen cpp:no_skeleton,moveable_types -out src/inner/gen src/inner/workflow.thrift
 */
namespace cpp rattanmount.inner.gen

struct wf_step {
  1: i32 tasks
  2: i64 millicores
  3: i64 memory_mb
  4: optional i64 accelerators
  // Estimated run time of one task, in milliseconds; 0: not known.
  5: optional i64 estimate
  6: optional list<i32> after
  7: optional bool checkpoints
  8: optional bool gang
  9: optional bool one_rack
  10: optional bool allows_copies
  11: optional bool long_running
  // Best effort: its processors are not reserved; it uses what other tasks leave.
  12: optional bool uses_leftover
  13: optional string required_label
  14: optional string data_rack
  15: optional i32 most_per_worker
  // Number of long-running tasks that the scheduler may take down at a time; not used by the dispatcher.
  16: optional i32 may_be_away
  17: optional string image
  18: optional i64 latency_limit
}

struct wf_recurrence {
  1: i64 first
  // In milliseconds.
  2: i64 interval
  3: i32 times
}

struct wf_advice {
  1: i64 base_time
  2: i64 time_per_worker_us
  3: i64 ticket_lifetime
}

struct wf_policy {
  1: string queue
  2: string service_name
  3: i32 priority
  4: i32 max_attempts
  // Factor on a job's critical path in its latency objective.
  5: double stretch
  // In milliseconds, added to the stretched critical path.
  6: i64 latency_goal
  7: optional wf_advice advice
}

struct wf_accepted {
  1: string key
  2: string payload
  3: list<wf_step> steps
  4: optional wf_recurrence recurs
  5: wf_policy policy
  6: i64 accepted_at
  // The team whose job it is; not set: it belongs to no team.
  7: optional string team
}

struct wf_task_progress {
  1: i32 index
  2: optional list<i32> failed_runs
  3: optional i32 last_run
  4: optional i32 ended_run
  5: optional string checkpoint
  6: optional string worker
}

struct wf_step_progress {
  1: i32 occurrence
  2: i32 step
  3: i32 tasks
  4: binary done
  5: list<wf_task_progress> open
  // Index of the first task that `tasks` counts and `done` has a bit for.
  6: optional i32 first
}

// The phase of a job and the progress of its first part, or of all of it if in_parts is not set.
struct wf_progress {
  1: i8 phase
  2: optional list<wf_step_progress> steps
  // One bit for each occurrence; the number of bits is in `occurrences`.
  3: optional binary complete_occurrences
  4: optional i32 occurrences
  5: optional bool in_parts
  // The team of a job that has ended; not set: it belongs to no team.
  6: optional string team
  // The epoch of the leader that made the record; not set by versions that did not record it.
  7: optional i64 epoch
}

// The progress of another part of a job, which the key names.
struct wf_part {
  1: list<wf_step_progress> steps
  // As in wf_progress.
  2: optional i64 epoch
}

struct wf_leader {
  1: i64 epoch
  2: string leader
  3: optional bool resigned
  4: optional string host
}

// The workers on which tasks may have been started; a worker is added before the first start on it.
struct wf_roster {
  1: list<string> workers
  // The epoch of the leader that recorded it, and the indexes in `workers` of those that have got no lease in
  // this epoch.
  2: optional i64 epoch
  3: optional list<i32> unreached
  // The incarnations of the workers, in the order of `workers`; 0 if it is not known. The indexes of those that
  // may hold a lease that was meant for an earlier incarnation.
  4: optional list<i64> incarnations
  5: optional list<i32> restarted
}

struct wf_member {
  1: string incarnation
  2: string address
  3: i32 port
  4: string data_centre
  5: optional bool left
  6: optional double processor_share
  7: optional double link_mbps
}
