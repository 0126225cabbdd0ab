#include "front/front.h"
#include "tests/front/fake_cell.h"

#include <catch2/catch.hpp>

using namespace rattanmount;
using namespace rattanmount::front;
using namespace std::chrono_literals;

namespace {

constexpr core::milliseconds call_limit{2000};

const core::endpoint any_port{.address = "127.0.0.1", .port = 0, .path = ""};

} // namespace

TEST_CASE("every call and its answer pass through HTTP unchanged") {
    auto cell = fake_cell();
    core::job_spec submitted;
    core::job_id asked;
    core::quick_request quick;
    std::string note;
    cell.submit = [&](const core::job_spec& spec, core::milliseconds) -> core::job_answer {
        submitted = spec;
        return {.state = core::answer_state::accepted, .status = sample_status()};
    };
    cell.status = [&, status = cell.status](const core::job_id& id, core::milliseconds limit) {
        asked = id;
        return status(id, limit);
    };
    cell.quick = [&](const core::quick_request& request) -> core::quick_answer {
        quick = request;
        return {.result = core::outcome::failed,
                .reason = "bad template",
                .body = std::string{"\0\xfe whole", 8},
                .executor = core::executor_id{"x1"}};
    };
    cell.apply_note = [&, apply = cell.apply_note](const std::string& text, core::milliseconds limit) {
        note = text;
        return apply(text, limit);
    };
    http_front server{{.listen = any_port, .max_threads = 4, .calls = cell}};
    server.start();
    const api_client client{{.hosts = {server.endpoint()}}};

    const auto accepted = client.submit(sample_spec(), call_limit);
    CHECK(submitted == sample_spec());
    CHECK(accepted.state == core::answer_state::accepted);
    REQUIRE(accepted.status);
    CHECK(accepted.status->spec == sample_spec());
    CHECK(accepted.status->accepted_at == sample_status().accepted_at);
    CHECK(accepted.status->ended == core::outcome::failed);
    CHECK(accepted.status->tasks_waiting == 1);
    CHECK(accepted.status->tasks_running == 2);
    CHECK(accepted.status->tasks_ended == 4);
    CHECK(accepted.status->places == sample_status().places);

    const auto status = client.status(sample_id(), call_limit);
    CHECK(asked == sample_id());
    CHECK(status.state == core::answer_state::ended);
    CHECK(status.result == core::outcome::failed);
    CHECK(status.reason == "a task failed");

    const auto cancelled = client.cancel(sample_id(), call_limit);
    CHECK(cancelled.state == core::answer_state::refused);
    CHECK(cancelled.result == core::outcome::not_run);

    CHECK(client.explain(sample_id(), call_limit).size() == 2);

    const auto answer = client.quick(sample_quick(), call_limit);
    CHECK(quick.id == sample_id());
    CHECK(quick.pool == sample_quick().pool);
    CHECK(quick.service == sample_quick().service);
    CHECK_FALSE(quick.idempotent);
    CHECK(quick.limit <= 800ms);
    CHECK(quick.limit >= 500ms);
    CHECK(quick.body == sample_quick().body);
    CHECK(answer.result == core::outcome::failed);
    CHECK(answer.body == std::string("\0\xfe whole", 8));
    CHECK(answer.executor.value() == "x1");

    const auto verdict = client.apply_note(R"({"id":"n1"})", call_limit);
    CHECK(note == R"({"id":"n1"})");
    CHECK(verdict.verdict == core::note_verdict::pending);
    CHECK(verdict.missing == std::vector{core::host_id{"entry-2"}});

    CHECK(client.show_notes(call_limit) == R"({"pools":[]})");
    const auto hosts = client.hosts(call_limit);
    REQUIRE(hosts.size() == 1);
    CHECK(hosts[0].host == sample_host().host);
    CHECK(hosts[0].address == sample_host().address);
    CHECK(hosts[0].config_offset == sample_host().config_offset);
    CHECK(hosts[0].shards == sample_host().shards);
    CHECK(hosts[0].leaving);
    CHECK(client.timeline(call_limit) == "{\"event\":1}\n{\"event\":2}\n");
    CHECK(client.metrics(call_limit) == "starts_total 4\n");
    CHECK(client.ready(call_limit));
    server.set_ready(false);
    CHECK_FALSE(client.ready(call_limit));
}
