#include "core/core.h"

#include <catch2/catch.hpp>

using namespace rattanmount::core;

namespace {

job_spec batch_spec() {
    return job_spec{.id = {.team = team_id{"tabua"}, .key = request_key{"sheets-1"}},
                    .pool = pool_id{"print"},
                    .each = {.millicores = 1000, .memory_mb = 512}};
}

} // namespace

TEST_CASE("an attempt id parses back from its text") {
    const attempt_id attempt{
        .job = {.team = team_id{"tabua"}, .key = request_key{"a.b:c"}}, .task = 3, .attempt = 2};
    CHECK(attempt.text() == "tabua/a.b:c#3.2");
    CHECK(attempt_id::parse(attempt.text()) == attempt);
    CHECK_THROWS_AS(attempt_id::parse("tabua/a#x.1"), invalid_argument);
    CHECK_THROWS_AS(attempt_id::parse("no slash#1.1"), invalid_argument);
}

TEST_CASE("an endpoint accepts only an IP address with a port") {
    const auto parsed = endpoint::parse("127.0.0.1:8080/workers/w1");
    CHECK(parsed.address == "127.0.0.1");
    CHECK(parsed.port == 8080);
    CHECK(parsed.path == "/workers/w1");
    CHECK(endpoint::parse(parsed.text()) == parsed);
    CHECK_THROWS_AS(endpoint::parse("localhost:80"), invalid_argument);
    CHECK_THROWS_AS(endpoint::parse("127.0.0.1"), invalid_argument);
    CHECK_THROWS_AS(endpoint::parse("127.0.0.1:99999"), invalid_argument);
}

// Guards against threads that look up a host name, which can take seconds, where an address is expected.
TEST_CASE("an endpoint accepts no host name that consists of the letters of an address") {
    for (const auto* text : {"abc:80", "dead.beef:80", "999.1.1.1:80", "10.0.9:80", "10.0.0.9.1:80", "1:80",
                             "[::1:80", "::1]:80", "[10.0.0.9]:80", "fe80::1::2:80"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(endpoint::parse(text), invalid_argument);
    }
    CHECK(endpoint::parse("[::1]:80").address == "::1");
    CHECK(endpoint::parse("[::1]:80") == endpoint::parse("::1:80"));
    CHECK(endpoint::parse("[::1]:80").text() == "[::1]:80");
}

TEST_CASE("resources fit only if each of the three amounts fits") {
    const resources available{.millicores = 4000, .memory_mb = 1024, .accelerators = 1};
    CHECK(resources{.millicores = 4000, .memory_mb = 1024, .accelerators = 1}.fits_in(available));
    CHECK(resources{.accelerators = 2}.first_excess(available) == "accelerators");
    CHECK(resources{.millicores = 2000, .memory_mb = 768}.dominant_share(available) == Approx(0.75));
}

TEST_CASE("a job with an invalid or contradictory field is rejected with the field's name") {
    CHECK_NOTHROW(batch_spec().check());
    auto spec = batch_spec();
    spec.idempotent = false;
    CHECK_THROWS_WITH(spec.check(), Catch::Contains("max_attempts"));
    spec = batch_spec();
    spec.id.key = request_key{"a b"};
    CHECK_THROWS_WITH(spec.check(), Catch::Contains("key"));
    spec = batch_spec();
    spec.each.memory_mb = -1;
    CHECK_THROWS_WITH(spec.check(), Catch::Contains("each"));
}

TEST_CASE("jobs with different payloads have different fingerprints") {
    auto other = batch_spec();
    CHECK(other.fingerprint() == batch_spec().fingerprint());
    other.payload = "x";
    CHECK(other.fingerprint() != batch_spec().fingerprint());
}
