// Encoding of the records in the log's streams and of the snapshots of their state machines.
//
// Uses the compact protocol. For compatibility, fields are only ever added, as optional fields with new
// numbers; numbers are never reused. Times are milliseconds since 1970, durations are milliseconds.
// After a change: thrift --gen cpp:no_skeleton -out src/inner/gen src/ledger/records.thrift

namespace cpp rattanmount.ledger.gen

struct job_key {
  1: required string team
  2: required string key
}

struct amounts {
  1: optional i64 millicores
  2: optional i64 memory_mb
  3: optional i64 accelerators
}

struct attempt_key {
  1: required job_key job
  2: required i32 task
  3: required i32 attempt
}

struct job_spec_data {
  1: required job_key id
  2: required string pool
  3: required i32 kind
  4: required i32 tasks
  5: required amounts each
  6: optional i64 expected_run_time
  7: required bool idempotent
  8: required i32 max_attempts
  9: optional string target_service
  10: optional string payload
}

struct pool_data {
  1: required string name
  2: required i32 kind
  3: required i32 priority
  4: required bool urgent
  5: required bool preemptible
  6: required bool spread
  7: required i32 weight
  8: required double max_share
  9: required i64 quick_limit
  10: required i32 queue_limit
  11: required list<string> services
}

struct team_data {
  1: required string name
  2: required string region
  3: required amounts quota
  4: required i32 weight
}

// Exactly one of pool and team is set.
struct item_data {
  1: required i32 change
  2: required i64 replaces
  3: optional pool_data pool
  4: optional team_data team
}

struct note_data {
  1: required string id
  2: required string author
  3: required list<item_data> items
}

struct shard_claimed_record {
  1: required i64 previous
  2: required string host
}

struct shard_released_record {
}

struct job_accepted_record {
  1: required job_spec_data spec
  2: required i64 at
}

struct task_started_record {
  1: required attempt_key attempt
  2: required string place
  3: required i64 at
}

struct task_ended_record {
  1: required attempt_key attempt
  2: required i32 how
  3: optional string reason
  4: required i64 at
}

struct job_ended_record {
  1: required job_key job
  2: required i32 result
  3: optional string reason
  4: required i64 at
}

struct job_cancelled_record {
  1: required job_key job
  2: required i64 at
}

struct job_moved_record {
  1: required job_key job
  2: required i64 to
}

struct move_confirmed_record {
  1: required job_key job
}

struct job_forgotten_record {
  1: required job_key job
}

struct rack_assigned_record {
  1: required string rack
  2: required i64 shard
}

struct note_proposed_record {
  1: required note_data note
  2: required i64 at
}

struct snapshot_taken_record {
  1: required binary state
  2: required i64 at
}

// A reader ignores a record if it does not know the field that is set.
union any_record {
  1: shard_claimed_record shard_claimed
  2: shard_released_record shard_released
  3: job_accepted_record job_accepted
  4: task_started_record task_started
  5: task_ended_record task_ended
  6: job_ended_record job_ended
  7: job_cancelled_record job_cancelled
  8: job_moved_record job_moved
  9: move_confirmed_record move_confirmed
  10: job_forgotten_record job_forgotten
  11: rack_assigned_record rack_assigned
  12: note_proposed_record note_proposed
  13: snapshot_taken_record snapshot_taken
}

struct batch_data {
  1: required string producer
  2: required i64 sequence
  3: required i64 epoch
  4: required list<any_record> records
}

struct producer_data {
  1: required string producer
  2: required i64 sequence
}

struct task_data {
  1: required i32 phase
  2: required i32 attempt
  3: optional string place
  4: optional i64 started_at
  5: optional i32 failures
  6: optional i32 last_end
  7: optional string last_reason
}

struct job_entry_data {
  1: required job_spec_data spec
  2: required i64 accepted_at
  3: required list<task_data> tasks
  4: optional bool cancelled
  5: optional i32 ended
  6: optional string reason
  7: optional i64 ended_at
  8: optional i64 moved_to
  9: optional bool move_confirmed
  10: optional i64 dropped_payload
}

// The state of a shard's state machine. Jobs are sorted by id, producers from the least to the most recent.
struct shard_state_data {
  1: required i64 shard
  2: required i64 epoch
  3: optional string owner_host
  4: optional string owner_incarnation
  5: required list<producer_data> producers
  6: required list<job_entry_data> jobs
}

struct rack_data {
  1: required string rack
  2: required i64 shard
}

struct policy_data {
  1: optional pool_data pool
  2: optional team_data team
  3: required i64 revision
  4: required bool in_force
  5: required string changed_by
  6: required string author
}

struct note_result_data {
  1: required string id
  2: required i64 fingerprint
  3: required i64 offset
  4: required bool accepted
  5: optional string reason
}

// The state of the configuration's state machine. Notes are sorted from the oldest to the newest.
struct config_state_data {
  1: required list<policy_data> policies
  2: required list<rack_data> racks
  3: required list<note_result_data> notes
  4: required list<producer_data> producers
}
