#include "front/front.h"
#include "tests/front/fake_cell.h"
#include "tests/front/raw_http.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace rattanmount;
using namespace rattanmount::front;

namespace {

http_reply send(const core::cell_calls& calls, const std::string& method, const std::string& target,
                const std::string& body = "") {
    const routes router{{.calls = calls}};
    return router.handle({.method = method, .target = target, .body = body});
}

/// @return the text with the first occurrence of the part replaced.
std::string replace_part(std::string text, const std::string& part, const std::string& replacement) {
    const auto place = text.find(part);
    REQUIRE(place != std::string::npos);
    return text.replace(place, part.size(), replacement);
}

const std::string good_job = R"({"team":"tabua","key":"k1","pool":"print","kind":"batch","tasks":2,)"
                             R"("each":{"millicores":500,"memory_mb":64},"expected_run_time":"90s"})";
const std::string good_quick =
    R"({"team":"tabua","key":"k1","pool":"preview","service":"template","body":"x"})";

core::cell_calls cell_returning(const core::job_answer& answer) {
    auto calls = fake_cell();
    calls.submit = [answer](const core::job_spec&, core::milliseconds) { return answer; };
    calls.status = [answer](const core::job_id&, core::milliseconds) { return answer; };
    calls.cancel = calls.status;
    return calls;
}

} // namespace

TEST_CASE("a malformed request is refused with the position of the error and is not executed") {
    auto calls = fake_cell();
    int submitted = 0;
    calls.submit = [&](const core::job_spec&, core::milliseconds) -> core::job_answer {
        submitted++;
        return {.state = core::answer_state::accepted};
    };
    REQUIRE(send(calls, "POST", "/v1/jobs", good_job).status == http_status::accepted);
    REQUIRE(submitted == 1);
    struct bad_body {
        std::string body;
        std::string place;
    };
    const std::vector<bad_body> bad{
        {"", "not valid JSON"},
        {"{\"team\":\n  oops}", "line 2, column 3"},
        {"[]", "must be an object"},
        {good_job + "{}", "not valid JSON"},
        {"// note\n" + good_job, "not valid JSON"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":2,\"tasks\":2"), "tasks: duplicate field"},
        {replace_part(good_job, "\"memory_mb\":64", "\"memory_mb\":64,\"memory_mb\":1"),
         "memory_mb: duplicate field"},
        {replace_part(good_job, "\"tasks\"", "\"task\""), "task: is not a known field"},
        {replace_part(good_job, "\"memory_mb\"", "\"memory\""), "each.memory: is not a known field"},
        {replace_part(good_job, "\"team\":\"tabua\",", ""), "team: is missing"},
        {replace_part(good_job, "\"tabua\"", "7"), "team: must be a string"},
        {replace_part(good_job, "\"tabua\"", "\"a/b\""), "team: 'a/b'"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":\"2\""), "tasks: must be a whole number"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":2.5"), "tasks: must be a whole number"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":-1"), "tasks: must be a whole number"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":18446744073709551615"),
         "tasks: must be a whole number"},
        {replace_part(good_job, "\"tasks\":2", "\"tasks\":1e999"), "not valid JSON"},
        {replace_part(good_job, ":500", ":-500"), "each.millicores"},
        {replace_part(good_job, "\"90s\"", "90"), "expected_run_time: must be a string"},
        {replace_part(good_job, "\"90s\"", "\"90\""), "expected_run_time: not a duration"},
        {replace_part(good_job, "\"batch\"", "\"batches\""), "not a kind of work: 'batches'"},
        {replace_part(good_job, "\"tasks\":2", "\"idempotent\":\"no\""), "idempotent: must be true or false"},
        {replace_part(good_job, "\"tasks\":2", "\"idempotent\":false,\"max_attempts\":2"),
         "max_attempts: must be 1"},
        {replace_part(good_job, "\"tasks\":2", "\"payload\":\"a\",\"payload_base64\":\"YQ==\""),
         "payload: give either"},
        {replace_part(good_job, "\"tasks\":2", "\"payload_base64\":\"Y*==\""),
         "payload_base64: is not Base64"},
        {replace_part(good_job, "\"tabua\"", std::string{"\"\xff\""}), "not valid JSON"},
        {std::string(100, '[') + std::string(100, ']'), "nested deeper"},
    };
    for (const auto& [body, place] : bad) {
        CAPTURE(body);
        const auto reply = send(calls, "POST", "/v1/jobs", body);
        CHECK(reply.status == http_status::bad_request);
        const auto answer = decode_job_answer(reply.body);
        CHECK(answer.state == core::answer_state::refused);
        CHECK(answer.result == core::outcome::not_run);
        CHECK_THAT(answer.reason, Catch::Contains(place));
    }
    CHECK(submitted == 1);
    CHECK(
        send(calls, "POST", "/v1/quick", replace_part(good_quick, "\"service\":\"template\",", "")).status ==
        http_status::bad_request);
    CHECK(send(calls, "POST", "/v1/quick", replace_part(good_quick, "\"body\"", "\"limit\":\"2h\",\"body\""))
              .status == http_status::bad_request);
    CHECK(send(calls, "POST", "/v1/notes", R"({"id":"n1","id":"n1"})").status == http_status::bad_request);
}

TEST_CASE("omitted fields get their documented defaults") {
    auto calls = fake_cell();
    core::job_spec seen;
    core::milliseconds seen_limit{0};
    calls.submit = [&](const core::job_spec& spec, core::milliseconds limit) -> core::job_answer {
        seen = spec;
        seen_limit = limit;
        return {.state = core::answer_state::accepted};
    };
    const auto job = R"({"team":"t","key":"k","pool":"p","kind":"batch","each":{"millicores":1}})";
    CHECK(send(calls, "POST", "/v1/jobs", job).status == http_status::accepted);
    CHECK(seen.tasks == 1);
    CHECK(seen.idempotent);
    CHECK(seen.max_attempts == 3);
    CHECK(seen_limit == std::chrono::seconds{5});
    const auto once = replace_part(job, "\"kind\"", "\"idempotent\":false,\"kind\"");
    CHECK(send(calls, "POST", "/v1/jobs?limit=500ms", once).status == http_status::accepted);
    CHECK(seen.max_attempts == 1);
    CHECK(seen_limit == core::milliseconds{500});
}

TEST_CASE("each typed answer maps to its documented HTTP status") {
    using core::answer_state;
    using core::outcome;
    const auto submit = [](const core::job_answer& answer) {
        return send(cell_returning(answer), "POST", "/v1/jobs", good_job).status;
    };
    const core::job_answer accepted{.state = answer_state::accepted};
    const core::job_answer ended{.state = answer_state::ended, .result = outcome::completed};
    const core::job_answer overloaded{.state = answer_state::refused, .result = outcome::not_run};
    const core::job_answer other_body{
        .state = answer_state::refused, .result = outcome::not_run, .status = sample_status()};
    const core::job_answer unsettled{.state = answer_state::unsettled, .result = outcome::unknown};
    const core::job_answer unreachable{.state = answer_state::refused, .result = outcome::unknown};
    CHECK(submit(accepted) == http_status::accepted);
    CHECK(submit(ended) == http_status::ok);
    CHECK(submit(overloaded) == http_status::service_unavailable);
    CHECK(submit(other_body) == http_status::conflict);
    CHECK(submit(unsettled) == http_status::gateway_timeout);
    const auto path = "/v1/jobs/tabua/k1";
    CHECK(send(cell_returning(accepted), "GET", path).status == http_status::ok);
    CHECK(send(cell_returning(accepted), "DELETE", path).status == http_status::accepted);
    CHECK(send(cell_returning(ended), "DELETE", path).status == http_status::ok);
    CHECK(send(cell_returning(overloaded), "GET", path).status == http_status::not_found);
    CHECK(send(cell_returning(unreachable), "GET", path).status == http_status::service_unavailable);
    CHECK(send(cell_returning(unsettled), "DELETE", path).status == http_status::gateway_timeout);

    auto calls = fake_cell();
    const auto quick = [&calls](outcome result) {
        calls.quick = [result](const core::quick_request&) -> core::quick_answer {
            return {.result = result};
        };
        return send(calls, "POST", "/v1/quick", good_quick).status;
    };
    CHECK(quick(outcome::completed) == http_status::ok);
    CHECK(quick(outcome::failed) == http_status::ok);
    CHECK(quick(outcome::not_run) == http_status::service_unavailable);
    CHECK(quick(outcome::unknown) == http_status::gateway_timeout);
    const auto note = [&calls](core::note_verdict verdict) {
        calls.apply_note = [verdict](const std::string&, core::milliseconds) -> core::note_answer {
            return {.verdict = verdict};
        };
        return send(calls, "POST", "/v1/notes", "{}").status;
    };
    CHECK(note(core::note_verdict::accepted) == http_status::ok);
    CHECK(note(core::note_verdict::pending) == http_status::accepted);
    CHECK(note(core::note_verdict::refused) == http_status::conflict);
    CHECK(note(core::note_verdict::unsettled) == http_status::gateway_timeout);
}

TEST_CASE("unknown paths, methods and parameters get different statuses") {
    const auto calls = fake_cell();
    CHECK(send(calls, "GET", "/v1/nothing").status == http_status::not_found);
    CHECK(send(calls, "GET", "/v1/jobs/tabua").status == http_status::not_found);
    const auto wrong_method = send(calls, "PUT", "/v1/notes");
    CHECK(wrong_method.status == http_status::method_not_allowed);
    CHECK(wrong_method.allow == "POST, GET");
    for (const auto* query : {"?limit=0", "?limit=2m", "?limit=5", "?limits=5s", "?limit=1s&limit=2s"}) {
        CAPTURE(query);
        CHECK(send(calls, "GET", std::string{"/v1/jobs/tabua/k1"} + query).status ==
              http_status::bad_request);
    }
    CHECK(send(calls, "GET", "/v1/jobs/%zz/k1").status == http_status::bad_request);
    CHECK(send(calls, "GET", "/live").status == http_status::ok);
}

TEST_CASE("an exception of a hook becomes an error response with the known outcome") {
    auto calls = fake_cell();
    const auto status_after = [&calls](const std::function<void()>& fail) {
        calls.status = [fail](const core::job_id&, core::milliseconds) -> core::job_answer {
            fail();
            return {};
        };
        return send(calls, "GET", "/v1/jobs/tabua/k1");
    };
    CHECK(status_after([] { throw core::invalid_argument("no"); }).status == http_status::bad_request);
    const auto unavailable = status_after([] { throw core::unavailable("log is down"); });
    CHECK(unavailable.status == http_status::service_unavailable);
    CHECK(decode_job_answer(unavailable.body).result == core::outcome::not_run);
    const auto unknown = status_after([] { throw core::outcome_unknown("slow"); });
    CHECK(unknown.status == http_status::gateway_timeout);
    CHECK(decode_job_answer(unknown.body).result == core::outcome::unknown);
    const auto defect = status_after([] { throw std::runtime_error("defect"); });
    CHECK(defect.status == http_status::internal_error);
    CHECK(decode_job_answer(defect.body).result == core::outcome::unknown);
}

TEST_CASE("bytes that are not text survive Base64 encoding and decoding") {
    for (std::size_t size = 0; size < 10; size++) {
        core::quick_answer answer{.result = core::outcome::completed, .body = std::string(size, '\xfe')};
        CHECK(decode_quick_answer(encode(answer)).body == answer.body);
    }
}
