#pragma once

#include "cell/peer_calls.h"

#include <string>

namespace rattanmount::inner {

inline core::job_id sample_id() {
    return {.team = core::team_id{"tabua"}, .key = core::request_key{"sheets:1"}};
}

inline core::job_spec sample_spec() {
    return {.id = sample_id(),
            .pool = core::pool_id{"print"},
            .kind = core::work_kind::service,
            .tasks = 7,
            .each = {.millicores = 1500, .memory_mb = 2048, .accelerators = 1},
            .expected_run_time = std::chrono::seconds{90},
            .idempotent = false,
            .max_attempts = 1,
            .service = core::service_id{"template"},
            .payload = std::string{"\xff\0 bytes", 8}};
}

inline cell::owner_answer sample_answer() {
    return {
        .is_owner = true,
        .answer = {.state = core::answer_state::ended,
                   .result = core::outcome::not_run,
                   .reason = "cancelled",
                   .status = core::job_status{.spec = sample_spec(),
                                              .accepted_at = core::from_epoch(core::milliseconds{1234567}),
                                              .ended = core::outcome::completed,
                                              .reason = "done",
                                              .tasks_waiting = 1,
                                              .tasks_running = 2,
                                              .tasks_ended = 3,
                                              .places = {"task 0 on worker w1"}}},
        .explanation = {"waits for memory"},
        .moved_to = core::shard_id{6}};
}

inline core::quick_request sample_quick() {
    return {.id = sample_id(),
            .pool = core::pool_id{"preview"},
            .service = core::service_id{"template"},
            .idempotent = false,
            .limit = core::milliseconds{800},
            .body = std::string{"\0body", 5}};
}

inline cell::owner_quick_answer sample_quick_answer() {
    return {.is_owner = true,
            .answer = {.result = core::outcome::unknown,
                       .reason = "no answer",
                       .body = std::string{"\xfe whole", 7},
                       .executor = core::executor_id{"x1"}}};
}

inline cell::slot_grant sample_grant() {
    return {.granted = true,
            .grant = 77,
            .executor = core::executor_id{"x1"},
            .address = {.address = "10.0.0.1", .port = 8080, .path = "/x"},
            .reason = "free"};
}

inline cell::peer_view sample_view() {
    return {.host = core::host_id{"entry-1"},
            .incarnation = core::incarnation_id{"entry-1:abc"},
            .inner = {.address = "10.0.0.2", .port = 4100, .path = ""},
            .front = {.address = "10.0.0.2", .port = 8000, .path = "/cell"},
            .data_centre = core::data_centre_id{"suva-1"},
            .leaving = true,
            .log_available = true,
            .clock = 123456789,
            .config_next = core::log_offset{99},
            .shards = {{.shard = core::shard_id{3},
                        .epoch = core::epoch_id{8},
                        .serving = true,
                        .waiting_tasks = 5,
                        .free = {.millicores = 10, .memory_mb = 20, .accelerators = 30},
                        .largest_free = {.millicores = 1, .memory_mb = 2, .accelerators = 3},
                        .services = {{.service = core::service_id{"template"}, .free_slots = 6}}}},
            .teams = {{.team = core::team_id{"tabua"},
                       .held = {.millicores = 7, .memory_mb = 8, .accelerators = 9}}}};
}

} // namespace rattanmount::inner
