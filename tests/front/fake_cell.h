#pragma once

#include "core/calls.h"
#include "core/errors.h"

#include <string>

namespace rattanmount::front {

inline core::job_id sample_id() {
    return {.team = core::team_id{"tabua"}, .key = core::request_key{"sheets:1"}};
}

inline core::job_spec sample_spec() {
    return {.id = sample_id(),
            .pool = core::pool_id{"print"},
            .kind = core::work_kind::gang,
            .tasks = 7,
            .each = {.millicores = 1500, .memory_mb = 2048, .accelerators = 1},
            .expected_run_time = std::chrono::seconds{90},
            .idempotent = false,
            .max_attempts = 1,
            .payload = std::string{"\xff\x00 not text", 11}};
}

inline core::job_status sample_status() {
    return {.spec = sample_spec(),
            .accepted_at = core::from_epoch(core::milliseconds{1'790'000'000'123}),
            .ended = core::outcome::failed,
            .reason = "a task failed",
            .tasks_waiting = 1,
            .tasks_running = 2,
            .tasks_ended = 4,
            .places = {"task 0 on worker w1", "task 1 on worker w2"}};
}

inline core::quick_request sample_quick() {
    return {.id = sample_id(),
            .pool = core::pool_id{"preview"},
            .service = core::service_id{"template"},
            .idempotent = false,
            .limit = core::milliseconds{800},
            .body = "render \"this\"\n"};
}

inline core::host_status sample_host() {
    return {.host = core::host_id{"entry-1"},
            .address = "127.0.0.1:4000",
            .data_centre = core::data_centre_id{"suva-1"},
            .live = true,
            .leaving = true,
            .config_offset = core::log_offset{12},
            .shards = {core::shard_id{0}, core::shard_id{5}}};
}

/// @return hooks that return sample values; each test replaces the hooks that it checks.
inline core::cell_calls fake_cell() {
    return {.submit = [](const core::job_spec&, core::milliseconds) -> core::job_answer {
                return {.state = core::answer_state::accepted, .status = sample_status()};
            },
            .status = [](const core::job_id&, core::milliseconds) -> core::job_answer {
                return {.state = core::answer_state::ended,
                        .result = core::outcome::failed,
                        .reason = "a task failed",
                        .status = sample_status()};
            },
            .cancel = [](const core::job_id&, core::milliseconds) -> core::job_answer {
                return {.state = core::answer_state::refused,
                        .result = core::outcome::not_run,
                        .reason = "no such job"};
            },
            .explain = [](const core::job_id&, core::milliseconds) -> std::vector<std::string> {
                return {"waits for memory", "largest free: 1024MB"};
            },
            .quick = [](const core::quick_request& request) -> core::quick_answer {
                return {.result = core::outcome::completed,
                        .body = request.body,
                        .executor = core::executor_id{"x1"}};
            },
            .apply_note = [](const std::string&, core::milliseconds) -> core::note_answer {
                return {.verdict = core::note_verdict::pending,
                        .reason = "not everywhere",
                        .missing = {core::host_id{"entry-2"}}};
            },
            .show_notes = [] { return std::string{R"({"pools":[]})"}; },
            .hosts = [] { return std::vector{sample_host()}; },
            .timeline = [] { return std::string{"{\"event\":1}\n{\"event\":2}\n"}; },
            .metrics = [] { return std::string{"starts_total 4\n"}; },
            .ready = [] { return true; }};
}

} // namespace rattanmount::front
