#include "tests/platform/loopback_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

constexpr const char* job_body = R"({"spec":"50","steps":[{"count":1,"cpu":1000,"memMb":100}]})";
constexpr const char* lasting_job_body =
    R"({"spec":"60000","steps":[{"count":1,"cpu":1000,"memMb":100,"longRunning":true}]})";

/// A configuration with the routes /jobs/ and /jobs/open/, of which the second is public.
std::string configuration_with_teams(int version, const std::vector<std::string>& keys_of_a) {
    const auto route = [](const char* name, const char* prefix, bool is_public) {
        return json{{"name", name},     {"host", caller_host}, {"pathPrefix", prefix}, {"timeoutMs", 3000},
                    {"service", "svc"}, {"maxAttempts", 2},    {"public", is_public}};
    };
    const json body{{"version", version},
                    {"routes", {route("r", "/jobs/", false), route("o", "/jobs/open/", true)}},
                    {"services", {{{"name", "svc"}, {"enforcesCapacity", false}}}},
                    {"tenants",
                     {{{"name", "a"}, {"weight", 5}, {"apiKeys", keys_of_a}},
                      {{"name", "b"}, {"weight", 5}, {"apiKeys", {"key-b"}}}}},
                    {"limits", {{"maxBodyBytes", 5000}}}};
    return body.dump();
}

int status(loopback_cell& cell, int host, const std::string& method, const std::string& path,
           const std::string& key, const std::string& body = "") {
    return cell.call(host, method, path, body, {{"Api-Key", key}}).status;
}

} // namespace

TEST_CASE("a call needs the key of a team unless its route is public") {
    loopback_cell cell{2, 1, configuration_with_teams(1, {"key-a"})};
    REQUIRE(cell.wait_ready(0));
    REQUIRE(cell.wait_ready(1));
    for (const auto* method : {"POST", "GET", "DELETE"}) {
        CAPTURE(method);
        const auto* body = std::string{method} == "POST" ? job_body : "";
        CHECK(cell.call(0, method, make_key(1), body).status == 401);
        CHECK(status(cell, 0, method, make_key(1), "key-c", body) == 401);
    }
    CHECK(cell.call(0, "GET", "", "").status == 401);
    CHECK(status(cell, 0, "GET", "", "key-a") == 200);
    CHECK(cell.call(0, "POST", "open/" + make_key(2), job_body).status == 200);
    CHECK(cell.call(0, "GET", "open/" + make_key(2), "").status == 200);
    CHECK(status(cell, 0, "POST", make_key(3), "key-a", job_body) == 200);
    CHECK(loopback_cell::wait_for(8s, [&] { return cell.started().size() == 2; }));
    CHECK(cell.started().count(make_key(1) + ".0.0.0") == 0);
    const auto too_long = cell.call(0, "POST", "open/" + make_key(4), std::string(5001, ' '));
    CHECK(too_long.status == 413);
    CHECK_THAT(too_long.body, Catch::Contains("5000"));
}

TEST_CASE("a job of another team is answered as if it did not exist") {
    loopback_cell cell{2, 1, configuration_with_teams(1, {"key-a"})};
    REQUIRE(cell.wait_ready(0));
    REQUIRE(cell.wait_ready(1));
    REQUIRE(status(cell, 0, "POST", make_key(1), "key-a", lasting_job_body) == 200);
    REQUIRE(loopback_cell::wait_for(
        8s, [&] { return status(cell, 1, "GET", make_key(1), "key-a") == 200 && !cell.started().empty(); }));
    for (const int host : {0, 1}) {
        CHECK(status(cell, host, "POST", make_key(1), "key-a", lasting_job_body) == 200);
        CHECK(status(cell, host, "POST", make_key(1), "key-b", lasting_job_body) == 409);
        CHECK(status(cell, host, "GET", make_key(1), "key-b") == 410);
        CHECK(status(cell, host, "DELETE", make_key(1), "key-b") == 410);
        CHECK(cell.call(host, "GET", "open/" + make_key(1), "").status == 410);
        CHECK(status(cell, host, "GET", make_key(1), "key-a") == 200);
    }
    CHECK(status(cell, 1, "DELETE", make_key(1), "key-a") == 200);
}

TEST_CASE("through a storm of versions a valid key is never refused and a removed one is refused at once") {
    loopback_cell cell{1, 1, configuration_with_teams(1, {"key-a"})};
    REQUIRE(cell.wait_ready(0));
    constexpr int versions = 200;
    for (int version = 2; version <= versions; version++) {
        const auto added = "key-" + std::to_string(version);
        cell.put_configuration(configuration_with_teams(version, {"key-a", added}));
        REQUIRE(status(cell, 0, "GET", make_key(1), added) == 410);
        REQUIRE(status(cell, 0, "GET", make_key(1), "key-a") == 410);
    }
    cell.put_configuration(configuration_with_teams(versions + 1, {"key-new"}));
    CHECK(status(cell, 0, "GET", make_key(1), "key-new") == 410);
    CHECK(status(cell, 0, "GET", make_key(1), "key-a") == 401); // On a connection that is still open.
}

TEST_CASE("while the store is down, known keys are served and unknown ones are not decided") {
    loopback_cell cell{1, 1, configuration_with_teams(1, {"key-a"})};
    REQUIRE(cell.wait_ready(0));
    REQUIRE(status(cell, 0, "POST", make_key(1), "key-a", job_body) == 200);
    cell.log().set_down(true);
    CHECK(status(cell, 0, "GET", make_key(1), "key-a") == 200);
    CHECK(status(cell, 0, "GET", make_key(1), "key-c") == 503);
    cell.log().set_down(false);
    CHECK(loopback_cell::wait_for(8s, [&] { return status(cell, 0, "GET", make_key(1), "key-c") == 401; }));
}

} // namespace rattanmount::tests
