#include "core/duration_text.h"
#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::settings;
using nlohmann::json;

namespace {

json valid_settings() {
    return json::parse(R"({
        "host": {"name": "e1", "data_centre": "a", "inner": "10.0.0.1:7100", "front": "10.0.0.1:7000"},
        "cell": {"regions": [{"name": "r", "data_centres": ["a", "b"]}], "shards": 4},
        "platform": {"log": {"address": "10.0.0.9:7900/log"}, "fleet": {"address": "10.0.0.9:7900/fleet"}}
    })");
}

std::vector<fault> faults_of(const std::string& text) {
    try {
        static_cast<void>(read_settings(text));
    } catch (const settings_error& error) {
        return error.faults();
    }
    return {};
}

/// @return the faults of valid settings in which one value is replaced.
std::vector<fault> faults_with(const std::string& pointer, const json& value) {
    auto changed = valid_settings();
    changed[json::json_pointer{pointer}] = value;
    return faults_of(changed.dump());
}

void check_single_fault(const std::vector<fault>& faults, const std::string& place,
                        const std::string& message) {
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].place == place);
    CHECK_THAT(faults[0].message, Catch::Contains(message));
}

} // namespace

TEST_CASE("settings that are not given have their default values") {
    auto text = valid_settings();
    text["platform"]["workers"] = {{"lease_term", "8s"}, {"task_hold", "5m"}};
    text["jobs"] = {{"keep_outcomes", "2h"}};
    text["quick"] = {{"retry_budget", 0.25}, {"max_attempts", 2}};
    text["log"] = {{"level", "warning"}, {"format", "json"}};
    const auto read = read_settings(text.dump());
    CHECK(read.host.name == core::host_id{"e1"});
    CHECK(read.host.inner.port == 7100);
    CHECK(read.platform.log.address.path == "/log");
    CHECK(read.cell.regions.at(0).data_centres.at(1) == core::data_centre_id{"b"});
    CHECK(read.platform.workers.lease_term == 8s);
    CHECK(read.platform.workers.task_hold == 5min);
    CHECK(read.platform.workers.renew_interval == 2s);
    CHECK(read.jobs.keep_outcomes == 2h);
    CHECK(read.quick.retry_budget == 0.25);
    CHECK(read.quick.max_attempts == 2);
    CHECK(read.log.level == telemetry::log_level::warning);
    CHECK(read.log.format == telemetry::log_format::json);
    CHECK(read.cell.max_entry_hosts == 8);
}

TEST_CASE("the example settings file is valid") {
    const auto read = read_settings_file(RATTANMOUNT_SOURCE_FOLDER "/examples/entry.json");
    CHECK(read.cell.regions.size() == 2);
    CHECK(read.platform.workers.renew_interval == 2s);
}

TEST_CASE("comments are allowed anywhere, and comment markers inside a string are not comments") {
    auto text = valid_settings();
    text["platform"]["log"]["stream_prefix"] = "a//b/*c*/";
    const auto body = text.dump(4);
    const auto read = read_settings("// first\n/* many\nlines */" + body + "// last");
    CHECK(read.platform.log.stream_prefix == "a//b/*c*/");
}

TEST_CASE("a key given twice is rejected at any depth, including in lists") {
    const std::string start = valid_settings().dump();
    const auto twice = [&](const std::string& from, const std::string& to) {
        auto text = start;
        text.replace(text.find(from), from.size(), to);
        return faults_of(text);
    };
    check_single_fault(twice("\"host\":", "\"quick\":{},\"quick\":{},\"host\":"), "quick", "given twice");
    check_single_fault(twice("\"shards\":4", "\"shards\":4,\"shards\":4"), "cell.shards", "given twice");
    check_single_fault(twice("\"name\":\"r\"", "\"name\":\"r\",\"name\":\"s\""), "cell.regions[0].name",
                       "given twice");
    check_single_fault(twice("\"shards\":4", "\"shards\":4,\"\\u0073hards\":5"), "cell.shards",
                       "given twice");
}

TEST_CASE("each kind of fault is reported with its place") {
    check_single_fault(faults_with("/hots", 1), "hots", "no such key");
    check_single_fault(faults_with("/cell/regions/0/colour", "red"), "cell.regions[0].colour", "no such key");
    check_single_fault(faults_with("/quick", json::array()), "quick", "must be an object, not array");
    check_single_fault(faults_with("/cell/shards", "four"), "cell.shards", "whole number, not string");
    check_single_fault(faults_with("/cell/shards", 4.5), "cell.shards", "whole number");
    check_single_fault(faults_with("/cell/shards", 257), "cell.shards", "from 1 to 256");
    check_single_fault(faults_with("/cell/shards", -4), "cell.shards", "from 1 to 256");
    check_single_fault(faults_with("/cell/shards", 18446744073709551615U), "cell.shards", "from 1 to 256");
    check_single_fault(faults_with("/platform/log/timeout", 250), "platform.log.timeout", "text with a unit");
    check_single_fault(faults_with("/platform/log/timeout", "1h"), "platform.log.timeout", "from 10ms to 1m");
    check_single_fault(faults_with("/platform/log/address", "log.example:80"), "platform.log.address",
                       "expected an IP address, got 'log.example'");
    check_single_fault(faults_with("/platform/log/address", nullptr), "platform.log.address", "not null");
    check_single_fault(faults_with("/quick", {{"retry_budget", 1.5}}), "quick.retry_budget", "from 0 to 1");
    check_single_fault(faults_with("/log", {{"level", "loud"}}), "log.level", "expected one of");
    check_single_fault(faults_with("/platform/fleet/interval", "3s"), "platform.fleet.interval",
                       "from 50ms to 2s");
    check_single_fault(faults_with("/host/name", ""), "host.name", "1 to 128 bytes");
    check_single_fault(faults_with("/cell/regions/0/data_centres/1", 5), "cell.regions[0].data_centres[1]",
                       "a text");
}

TEST_CASE("a duration without a known unit is rejected") {
    for (const auto* wrong : {"5", "5 s", "5 seconds", "s", "-5s", "5sm", "99999999999999999999s", ""}) {
        CAPTURE(wrong);
        const auto faults = faults_with("/platform/log/timeout", wrong);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].place == "platform.log.timeout");
    }
}

TEST_CASE("all missing required keys are reported") {
    std::vector<std::string> places;
    for (const auto& each : faults_of("{}")) {
        places.push_back(each.place);
    }
    CHECK(places == std::vector<std::string>{"host.name", "host.data_centre", "host.inner", "host.front",
                                             "cell.regions", "cell.shards", "platform.log.address",
                                             "platform.fleet.address"});
}

TEST_CASE("all faults are reported at once, including contradictions") {
    auto text = valid_settings();
    text["host"]["colour"] = "red";
    text["cell"]["shards"] = 0;
    text["platform"]["log"]["timeout"] = "5 parsecs";
    text["platform"]["workers"]["renew_interval"] = "3s";
    const auto faults = faults_of(text.dump());
    CHECK(faults.size() == 4);
    try {
        static_cast<void>(read_settings(text.dump()));
        FAIL("invalid settings were accepted");
    } catch (const core::invalid_argument& error) {
        const std::string message = error.what();
        for (const auto* place : {"host.colour: ", "cell.shards: ", "platform.log.timeout: ",
                                  "platform.workers.renew_interval: "}) {
            CHECK_THAT(message, Catch::Contains(place));
        }
    }
}

TEST_CASE("settings that contradict each other are rejected") {
    check_single_fault(faults_with("/platform/workers", {{"lease_term", "4s"}}),
                       "platform.workers.renew_interval", "lease_term");
    check_single_fault(faults_with("/platform/executors", {{"connections_per_host", 5}}),
                       "platform.executors.connections_per_host", "is 80, but an executor takes 64");
    check_single_fault(faults_with("/cell/max_entry_hosts", 9), "platform.executors.connections_per_host",
                       "is 72");
    check_single_fault(faults_with("/host/front", "10.0.0.1:7100"), "host.front", "host.inner");
    check_single_fault(faults_with("/host/front", "0.0.0.0:7100"), "host.front", "host.inner");
    check_single_fault(faults_with("/host/inner", "0.0.0.0:7100"), "host.inner", "one address of this host");
    check_single_fault(faults_with("/host/data_centre", "c"), "host.data_centre", "in no region");
    check_single_fault(faults_with("/cell/shards", 1), "cell.shards", "number of data centres, 2");
    check_single_fault(faults_with("/cell/regions/1", {{"name", "s"}, {"data_centres", {"b"}}}),
                       "cell.regions", "'b' is named twice");
    check_single_fault(faults_with("/membership", {{"suspect_after", "1s"}}), "membership.suspect_after",
                       "twice");
    check_single_fault(faults_with("/membership", {{"startup_wait", "100ms"}}), "membership.startup_wait",
                       "at least");
    check_single_fault(faults_with("/quick", {{"silent_after", "400ms"}}), "quick.silent_after",
                       "attempt_timeout");
    check_single_fault(faults_with("/platform/workers", {{"timeout", "4s"}}), "platform.workers.timeout",
                       "outlives");
}

TEST_CASE("no contradiction is reported for a value that is already invalid by itself") {
    check_single_fault(faults_with("/cell/regions", json::array()), "cell.regions", "must not be empty");
    check_single_fault(faults_with("/platform/workers", {{"lease_term", "6"}, {"renew_interval", "30s"}}),
                       "platform.workers.lease_term", "");
}

TEST_CASE("text that is not JSON is rejected with line and column") {
    check_single_fault(faults_of("{\n  \"host\": {,}\n}"), "line 2, column 12", "unexpected");
    check_single_fault(faults_of("{\"a\": 1"), "line 1, column 8", "unexpected end of input");
    check_single_fault(faults_of(""), "line 1, column 1", "unexpected end of input");
    check_single_fault(faults_of("{} {}"), "line 1, column 4", "unexpected");
    check_single_fault(faults_of("/* open"), "line 1, column 8", "");
    check_single_fault(faults_of("{\"a\": 1e999}"), "line 1, column 11", "number overflow");
    check_single_fault(faults_of("[1]"), "line 1, column 1", "one JSON object");
    check_single_fault(faults_of("{\"a\": \"\xff\"}"), "line 1, column 8", "UTF-8");
}

TEST_CASE("a file that cannot be read is reported with its path") {
    CHECK_THROWS_WITH(read_settings_file("/nowhere/entry.json"), "/nowhere/entry.json: cannot be read");
}
