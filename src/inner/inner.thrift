/**
 * The protocol between the entry hosts of one cell.
 *
 * Durations are in milliseconds, points in time in milliseconds since the Unix epoch. A field that is not
 * marked optional must be present: the conversion to core types rejects a message without it.
 * A field of type i8 holds a value of an enumeration (kind: work_kind, result and ended: outcome,
 * state: answer_state, how: slot_release); a number outside the enumeration is rejected as well.
 * Exceptions: the log calls reject only a negative epoch or sequence and an unknown fate; advise rejects only
 * an empty job, a negative occurrence or step, and an invalid lifetime_ms.
 * Regenerate with: thrift -r --gen cpp:no_skeleton,moveable_types -out src/inner/gen src/inner/inner.thrift
 */
namespace cpp rattanmount.inner.gen

struct resources {
  1: i64 millicores
  2: i64 memory_mb
  3: i64 accelerators
}

struct endpoint {
  1: string address
  2: i32 port
  3: optional string path
}

struct service_room {
  1: string service_name
  2: i32 free_slots
}

struct shard_view {
  1: i64 shard
  2: i64 epoch
  3: bool serving
  4: i32 waiting_tasks
  5: resources free
  6: resources largest_free
  7: list<service_room> services
}

struct team_usage {
  1: string team
  2: resources held
}

struct peer_view {
  1: string host
  2: string incarnation
  3: endpoint inner
  4: string data_centre
  5: bool leaving
  6: i64 config_next
  7: list<shard_view> shards
  8: list<team_usage> teams
  9: bool log_available
  10: i64 clock
  11: endpoint front
}

enum work_kind {
  quick = 1,
  batch = 2,
  gang = 3,
  long_running = 4
}

enum outcome {
  completed = 1,
  failed = 2,
  not_run = 3,
  unknown = 4
}

enum answer_state {
  accepted = 1,
  ended = 2,
  refused = 3,
  unsettled = 4
}

enum slot_release {
  done = 1,
  unsent = 2,
  lost = 3,
  broken = 4
  refused = 5
}

struct job_id {
  1: string team
  2: string key
}

struct job_spec {
  1: job_id id
  2: string pool
  3: i8 kind
  4: i32 tasks
  5: resources each
  6: i64 expected_run_time_ms
  7: bool idempotent
  8: i32 max_attempts
  9: optional string service_name
  10: optional binary payload
}

struct job_status {
  1: job_spec spec
  2: i64 accepted_at_ms
  3: optional i8 ended
  4: string reason
  5: i32 tasks_waiting
  6: i32 tasks_running
  7: i32 tasks_ended
  8: list<string> places
}

struct job_answer {
  1: i8 state
  2: i8 result
  3: string reason
  4: optional job_status status
}

/** owner is false if the callee does not own the shard; the other fields are then absent. */
struct owner_answer {
  1: bool owner
  2: optional job_answer answer
  3: optional list<string> explanation
  4: optional i64 moved_to
}

struct quick_request {
  1: job_id id
  2: string pool
  3: string service_name
  4: bool idempotent
  5: i64 limit_ms
  6: binary body
}

struct quick_answer {
  1: i8 result
  2: string reason
  3: binary body
  4: string executor
}

struct owner_quick_answer {
  1: bool owner
  2: optional quick_answer answer
}

/** executor and address are set only if the slot is granted. */
struct slot_grant {
  1: bool granted
  2: i64 grant
  3: optional string executor
  4: optional endpoint address
  5: optional string reason
}

struct config_copy {
  1: bool available
  2: i64 next_offset
  3: optional binary state
}

struct advice_request {
  1: string job
  2: i32 occurrence
  3: i32 step
  4: list<string> workers
}

struct advice_ticket {
  1: string worker
  2: string ticket
}

/** The tickets and their lifetime are set only if the advisory service answered. */
struct advice_answer {
  1: bool answered
  2: list<advice_ticket> allowed
  3: i64 lifetime_ms
}

/** offset is absent in an append request. */
struct log_item {
  1: optional i64 offset
  2: binary key
  3: binary value
}

struct log_append_request {
  1: string stream
  2: list<log_item> items
  3: string producer
  4: i64 epoch
  5: i64 sequence
}

/** fate holds a value of cell::log_status; the optional fields are set by the calls that return them. */
struct log_answer {
  1: i8 fate
  2: optional list<log_item> items
  3: optional i64 next_offset
  4: optional bool at_end
  5: optional i64 expected
}

enum error_kind {
  /** The request is invalid and was not executed. */
  invalid_argument = 1,
  /** The call was certainly not executed. */
  unavailable = 2,
  /** The call may have been executed. */
  fate_unknown = 3
}

exception call_error {
  1: i8 kind
  2: string reason
}

/** A caller's request for a job, as it would be sent to an entry host; `key` is absent if it has none. */
struct submission {
  1: string host_name
  2: string path
  3: optional string key
  4: binary body
}

struct cost_term {
  1: string name
  2: double value
}

struct candidate_worker {
  1: string worker
  2: double cost
  3: list<cost_term> terms
}

/** Where the tasks of the first step of a job would start. */
struct placement_explanation {
  1: string team
  2: string queue
  3: i32 priority
  4: i32 known_workers
  5: i32 fitting_workers
  6: bool needs_advice
  7: list<candidate_worker> candidates
  8: list<string> waits_for
}

service peer_service {
  peer_view heartbeat(1: peer_view caller, 2: i64 limit_ms) throws (1: call_error error)
  owner_answer submit(1: i64 shard, 2: job_spec spec, 3: i64 limit_ms) throws (1: call_error error)
  owner_answer status(1: i64 shard, 2: job_id id, 3: i64 limit_ms) throws (1: call_error error)
  owner_answer cancel(1: i64 shard, 2: job_id id, 3: i64 limit_ms) throws (1: call_error error)
  owner_answer explain(1: i64 shard, 2: job_id id, 3: i64 limit_ms) throws (1: call_error error)
  owner_quick_answer quick(1: i64 shard, 2: quick_request request) throws (1: call_error error)
  owner_answer take_job(1: i64 shard, 2: job_spec spec, 3: i64 accepted_at_ms, 4: i64 limit_ms)
    throws (1: call_error error)
  slot_grant reserve_slot(1: i64 shard, 2: string service_name, 3: string caller, 4: i64 request_limit_ms,
                          5: i64 limit_ms) throws (1: call_error error)
  void release_slot(1: i64 shard, 2: i64 grant, 3: i8 how, 4: i64 limit_ms)
    throws (1: call_error error)
  config_copy copy_config(1: i64 limit_ms) throws (1: call_error error)
  string timeline(1: i64 limit_ms) throws (1: call_error error)
  log_answer append_log(1: log_append_request request, 2: i64 limit_ms) throws (1: call_error error)
  /** max_bytes is 0 if the caller states no limit. */
  log_answer read_log(1: string stream, 2: i64 from_offset, 3: i64 wait_ms, 4: i64 limit_ms, 5: i64 max_bytes)
    throws (1: call_error error)
  log_answer newest_log(1: string stream, 2: i64 limit_ms) throws (1: call_error error)
  /** Returns whether the items are stored; if not, they never will be. Served by the leader only. */
  bool store_items(1: list<log_item> items, 2: i64 limit_ms) throws (1: call_error error)
  advice_answer advise(1: advice_request request, 2: i64 limit_ms) throws (1: call_error error)
  /** Explains what would become of a request. Served by every host, which asks the leader. */
  placement_explanation explain_submission(1: submission request, 2: i64 limit_ms) throws (1: call_error error)
  /** Explains what would become of a job, given as its record of acceptance. Served by the leader only. */
  placement_explanation explain_job(1: log_item job, 2: i64 limit_ms) throws (1: call_error error)
}
