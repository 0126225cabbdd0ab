#include "tests/end_to_end/matrix_step.h"

#include "tests/end_to_end/matrix_fault.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>

namespace rattanmount::tests {

using namespace std::chrono_literals;

std::string make_key(const step_state& state, int number) {
    return state.prefix + "-" + std::to_string(number);
}

caller_record& find_or_add_record(step_state& state, const std::string& key) {
    for (auto& record : state.records) {
        if (record.id == "tabua/" + key) {
            return record;
        }
    }
    state.records.push_back({.id = "tabua/" + key});
    return state.records.back();
}

void record_answer(caller_record& record, const http_result& answer) {
    const auto job_state = answer.text("state");
    record.accepted = record.accepted || job_state == "accepted";
    record.not_run = record.not_run || answer.text("result") == "not_run";
}

void submit_four(cell_fixture& cell, step_state& state, std::chrono::milliseconds run_time) {
    for (int number = 0; number < 4; ++number) {
        const auto key = make_key(state, number);
        const bool accepted = wait_until(
            [&] {
                auto& record = find_or_add_record(state, key);
                record.not_run = false; // A repetition after a refusal counts as a new request.
                record_answer(record, cell.submit(healthy_host, key, run_time));
                return record.accepted;
            },
            10s);
        INFO(key);
        REQUIRE(accepted);
    }
}

void wait_for_starts(cell_fixture& cell, const step_state& state) {
    CHECK(wait_until(
        [&] {
            const auto journal = cell.worker_journal();
            return std::ranges::all_of(
                state.records, [&](const auto& record) { return count_task_starts(journal, record.id) > 0; });
        },
        10s));
}

void wait_for_ends(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (!record.accepted) {
            continue;
        }
        const auto last = cell.wait_for_end(healthy_host, record.id.substr(record.id.find('/') + 1), 20s);
        INFO(record.id << ": " << last.dump());
        record.ended = text_of(last, "state") == "ended";
        record.not_run = record.not_run || text_of(last, "result") == "not_run";
        CHECK(record.ended);
    }
}

http_result send_quick_request(cell_fixture& cell, int host, const std::string& key, bool idempotent) {
    const nlohmann::json request{
        {"team", "tabua"},           {"key", key},    {"pool", "previews"},      {"service", "templates"},
        {"body", "{\"run_ms\":20}"}, {"limit", "1s"}, {"idempotent", idempotent}};
    return http("POST", cell.front_port(host), "/v1/quick", request.dump());
}

namespace {

const std::vector<int> hosts_called{healthy_host, faulty_host};

void accept_during(cell_fixture& cell, step_state& state) {
    int number = 0;
    for (const int host : hosts_called) {
        const auto key = make_key(state, number++);
        record_answer(find_or_add_record(state, key), cell.submit(host, key, 100ms, 1, 1s));
    }
}

void accept_after(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (record.accepted || record.not_run) {
            continue;
        }
        const auto key = record.id.substr(record.id.find('/') + 1);
        CHECK(wait_until(
            [&] {
                const auto answer = cell.submit(healthy_host, key, 100ms);
                record.accepted = answer.text("state") == "accepted" || answer.text("state") == "ended";
                return record.accepted;
            },
            10s));
    }
    wait_for_ends(cell, state);
}

void quick_during(cell_fixture& cell, step_state& state, bool idempotent) {
    for (int number = 0; number < 8; ++number) {
        const auto key = make_key(state, number);
        const int host = hosts_called[static_cast<std::size_t>(number) % hosts_called.size()];
        auto& record = find_or_add_record(state, key);
        record.idempotent = idempotent;
        const auto answer = send_quick_request(cell, host, key, idempotent);
        record.completed = answer.text("result") == "completed";
        record.not_run = answer.text("result") == "not_run";
        record.answer = answer.text("body");
    }
}

void preview_after(cell_fixture& cell, step_state& state) {
    CHECK(wait_until(
        [&] {
            return send_quick_request(cell, healthy_host, state.prefix + "-after", true).text("result") ==
                   "completed";
        },
        10s));
}

/// Repeats the payments whose outcome is unknown under the same keys, which must not run them again.
void payment_after(cell_fixture& cell, step_state& state) {
    for (auto& record : state.records) {
        if (!record.completed && !record.not_run) {
            const auto answer =
                send_quick_request(cell, healthy_host, record.id.substr(record.id.find('/') + 1), false);
            record.completed = answer.text("result") == "completed";
            record.not_run = answer.text("result") == "not_run";
            record.answer = answer.text("body");
        }
    }
    int number = 0;
    CHECK(wait_until(
        [&] {
            return send_quick_request(cell, healthy_host, state.prefix + "-after-" + std::to_string(number++),
                                      false)
                       .text("result") == "completed";
        },
        10s));
}

void cancel_during(cell_fixture& cell, step_state& state) {
    for (std::size_t index = 0; index < state.records.size(); ++index) {
        http("DELETE", cell.front_port(hosts_called[index % hosts_called.size()]),
             "/v1/jobs/" + state.records[index].id + "?limit=1s");
    }
}

void cancel_after(cell_fixture& cell, step_state& state) {
    for (const auto& record : state.records) {
        CHECK(wait_until(
            [&] {
                return http("DELETE", cell.front_port(healthy_host), "/v1/jobs/" + record.id).status / 100 ==
                       2;
            },
            10s));
    }
    wait_for_ends(cell, state);
}

http_result send_note(cell_fixture& cell, int host, const std::string& name, const std::string& limit) {
    const nlohmann::json note{
        {"id", name},
        {"author", "tests"},
        {"items", {{{"change", "add"}, {"pool", {{"name", name}, {"kind", "batch"}, {"priority", 10}}}}}}};
    return http("POST", cell.front_port(host), "/v1/notes?limit=" + limit, note.dump());
}

void note_after(cell_fixture& cell, step_state& state) {
    CHECK(wait_until(
        [&] { return send_note(cell, healthy_host, state.prefix, "2s").text("verdict") == "accepted"; },
        20s));
    for (int host = 0; host < 3; ++host) {
        INFO("the note " << state.prefix << " on host " << host);
        const auto shown = http("GET", cell.front_port(host), "/v1/notes");
        CHECK(shown.body.dump().find("\"" + state.prefix + "\"") != std::string::npos);
    }
}

} // namespace

std::vector<matrix_step> matrix_steps() {
    const auto nothing = [](cell_fixture&, step_state&) {};
    return {
        {.name = "accept", .before = nothing, .during = accept_during, .after = accept_after},
        {.name = "start",
         .before = [](auto& cell, auto& state) { submit_four(cell, state, 100ms); },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "run",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 2500ms);
                 wait_for_starts(cell, state);
             },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "finish",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 700ms);
                 wait_for_starts(cell, state);
             },
         .during = nothing,
         .after = wait_for_ends},
        {.name = "quick",
         .before = nothing,
         .during = [](auto& cell, auto& state) { quick_during(cell, state, true); },
         .after = preview_after},
        {.name = "payment",
         .before = nothing,
         .during = [](auto& cell, auto& state) { quick_during(cell, state, false); },
         .after = payment_after},
        {.name = "cancel",
         .before =
             [](auto& cell, auto& state) {
                 submit_four(cell, state, 8000ms);
                 wait_for_starts(cell, state);
             },
         .during = cancel_during,
         .after = cancel_after},
        {.name = "note",
         .before = nothing,
         .during = [](auto& cell, auto& state) { send_note(cell, faulty_host, state.prefix, "1s"); },
         .after = note_after},
    };
}

} // namespace rattanmount::tests
