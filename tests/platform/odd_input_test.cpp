#include "core/errors.h"
#include "platform/hold_decode.h"
#include "platform/job_decode.h"
#include "platform/wire_decode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using nlohmann::json;

json worker_body() {
    return {{"service", "s"},
            {"address", "10.0.0.9:8080"},
            {"zone", "z"},
            {"state", "ready"},
            {"born", 1764892800000},
            {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpus", 1}}},
            {"labels", {"a", "r1-3"}}};
}

/// Returns the text of a JSON object in which a member's value is replaced by a text.
/// @param path the name of the member, or those of an object and its member with a slash between.
std::string with_value(json body, const std::string& path, const std::string& text) {
    const std::string mark = "replaced here";
    body[json::json_pointer{"/" + path}] = mark;
    auto whole = body.dump();
    const auto quoted = "\"" + mark + "\"";
    return whole.replace(whole.find(quoted), quoted.size(), text);
}

std::string nested(std::size_t levels, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < levels; i++) {
        text += open;
    }
    for (std::size_t i = 0; i < levels; i++) {
        text += close;
    }
    return text;
}

bool is_decoded(const std::string& value, const std::string& key = "i-1") {
    return platform::decode_worker({.key = key, .value = value}).has_value();
}

} // namespace

// Guards against processes that end because a very deeply nested entry among those of the workers overflows
// the stack of the thread that reads it.
TEST_CASE("a worker entry is skipped if it is nested too deeply") {
    for (const std::size_t levels : {1000U, 100000U, 1000000U}) {
        for (const auto* field : {"labels", "capacity", "unknown"}) {
            CAPTURE(levels, field);
            CHECK_FALSE(is_decoded(with_value(worker_body(), field, nested(levels, "[", "]"))));
            CHECK_FALSE(is_decoded(with_value(worker_body(), field, nested(levels, R"({"a":)", "") + "1")));
            CHECK_FALSE(is_decoded(nested(levels, "[", "")));
        }
    }
    CHECK(is_decoded(with_value(worker_body(), "unknown", nested(10, "[", "]"))));
    CHECK(
        is_decoded(with_value(worker_body(), "unknown", R"("\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[")")));
}

// Guards against an entry with a number too large or negative that a conversion turns into another number.
TEST_CASE("a worker entry is skipped if a number is out of range") {
    for (const auto* number : {"-1", "-1e300", "1e300", "9223372036854775808", "18446744073709551616", "1e18",
                               "-9223372036854775808", "1e400", "NaN", "\"7\"", "[]", "null"}) {
        for (const auto* field : {"born", "capacity/cpu", "capacity/memMb", "capacity/gpus"}) {
            CAPTURE(number, field);
            CHECK_FALSE(is_decoded(with_value(worker_body(), field, number)));
        }
    }
    for (const auto* number : {"-1e300", "1e300", "9223372036854775807", "1e15", "1e400", "\"7\""}) {
        CAPTURE(number);
        CHECK_FALSE(is_decoded(with_value(worker_body(), "drainRemainingMs", number)));
    }
    CHECK(is_decoded(with_value(worker_body(), "capacity/cpu", "16000.0")));
    CHECK(is_decoded(with_value(worker_body(), "drainRemainingMs", "12.5")));
}

// Guards against an entry with a port out of range or a host name in place of an address.
TEST_CASE("a worker entry is skipped if its address is no IP address with a port") {
    for (const auto* address : {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1",
                                "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9", "999.1.1.1:80", "10.0.9:80",
                                "abc:80", "dead.beef:80", ":80", "[::1:80", "::1]:80", ""}) {
        CAPTURE(address);
        CHECK_FALSE(is_decoded(with_value(worker_body(), "address", json(address).dump())));
    }
    CHECK_FALSE(
        is_decoded(with_value(worker_body(), "address", json(std::string(100000, '1') + ":80").dump())));
    CHECK(is_decoded(with_value(worker_body(), "address", R"("[::1]:80")")));
}

// Guards against advice requests that fail for ever because a worker's id cannot be encoded, and against ids
// that end the header line in which they are sent.
TEST_CASE("a worker entry is skipped if its key cannot be sent as an id") {
    const std::vector<std::string> keys{"", "\xff\xfe", "i-1\r\nX-Other: 1", "i 1", std::string("i\0", 2)};
    for (const auto& key : keys) {
        CAPTURE(key);
        CHECK_FALSE(is_decoded(worker_body().dump(), key));
    }
    CHECK(is_decoded(worker_body().dump(), std::string(255, 'a')));
}

// Guards against processes that end because a reply's field has another type than expected.
TEST_CASE("an order's refusal that cannot be decoded counts as no answer") {
    using dispatch::order_outcome;
    for (const std::string body : {R"({"reason":7})", R"({"reason":{}})", R"({"reason":null})", "[]", "{}",
                                   "", "\"fence\"", "{\"reason\":"}) {
        CAPTURE(body);
        CHECK(platform::decode_order_reply(409, body).outcome == order_outcome::unknown);
    }
    CHECK(platform::decode_order_reply(409, nested(1000000, "[", "]")).outcome == order_outcome::unknown);
}

// Guards against replies whose numbers are out of range and become other numbers.
TEST_CASE("a reply to a hold order or an advice request is refused if a number is out of range") {
    const json hold{{"clockMs", 482113},
                    {"born", 9},
                    {"running", {{"5c0e.0.1.17", 2, "0b", 41, 7.5}}},
                    {"finished", {{58, "5c0e.0.1.9", 1, "done", ""}}}};
    CHECK_NOTHROW(platform::decode_hold(hold.dump()));
    for (const auto* number : {"-1", "1e300", "1e400", "9223372036854775808", "\"7\"", "{}"}) {
        for (const auto* path : {"born", "running/0/1", "running/0/3", "finished/0/0", "finished/0/2"}) {
            CAPTURE(number, path);
            CHECK_THROWS_AS(platform::decode_hold(with_value(hold, path, number)), core::invalid_argument);
        }
    }
    for (const auto* number : {"1e300", "-1e300", "9223372036854775807", "1e15"}) {
        CAPTURE(number);
        CHECK_THROWS_AS(platform::decode_hold(with_value(hold, "clockMs", number)), core::invalid_argument);
        CHECK_THROWS_AS(platform::decode_advice(R"({"allowed":[],"validityMs":)" + std::string{number} + "}"),
                        core::invalid_argument);
    }
    CHECK_THROWS_AS(platform::decode_hold(nested(1000000, "[", "]")), core::invalid_argument);
}

// Guards against an entry of the operator's topic that ends the processes, or that is applied with another
// number than it states.
TEST_CASE("a configuration is skipped if it is nested too deeply or a number is out of range") {
    const json body{
        {"version", 7},
        {"routes",
         {{{"name", "r"},
           {"service", "s"},
           {"timeoutMs", 3000},
           {"priority", 1},
           {"maxAttempts", 2},
           {"targetLatencyMs", 300},
           {"recommendation", {{"decisionMs", 26.0}, {"perWorkerMs", 0.37}, {"validityMs", 2500}}}}}},
        {"services", {{{"name", "s"}}}},
        {"limits", {{"maxBodyBytes", 1000}}}};
    const auto decodes = [](const std::string& value) {
        return platform::decode_configuration({.key = "config", .value = value}).has_value();
    };
    CHECK(decodes(body.dump()));
    CHECK_FALSE(decodes(with_value(body, "services", nested(1000000, "[", "]"))));
    for (const auto* path :
         {"version", "limits/maxBodyBytes", "routes/0/timeoutMs", "routes/0/priority", "routes/0/maxAttempts",
          "routes/0/targetLatencyMs", "routes/0/recommendation/decisionMs",
          "routes/0/recommendation/perWorkerMs", "routes/0/recommendation/validityMs"}) {
        for (const auto* number : {"1e300", "-1e300", "9223372036854775808", "1e400"}) {
            CAPTURE(path, number);
            CHECK_FALSE(decodes(with_value(body, path, number)));
        }
    }
}

// Guards against a job that runs with other numbers than its caller sent.
TEST_CASE("a job body is refused if it is nested too deeply or a number is out of range") {
    const json body{
        {"spec", "text"},
        {"steps",
         {{{"count", 2}, {"cpu", 500}, {"memMb", 1}, {"gpus", 1}, {"estimatedMs", 9}, {"targetMs", 9}},
          {{"after", {0}}, {"antiAffinity", 1}, {"allowMiss", 1}}}},
        {"repeatCount", 3},
        {"startAtMs", 1764892800000},
        {"intervalMs", 1000}};
    const auto decode = [](const std::string& text) {
        return platform::decode_job(workflow::job_key{"a"}, workflow::queue_id{"q"}, text);
    };
    CHECK_NOTHROW(decode(body.dump()));
    CHECK_THROWS_AS(decode(with_value(body, "steps/1/after", nested(1000000, "[", "]"))),
                    core::invalid_argument);
    for (const auto* path :
         {"steps/0/count", "steps/0/cpu", "steps/0/memMb", "steps/0/gpus", "steps/0/estimatedMs",
          "steps/0/targetMs", "steps/1/after/0", "steps/1/antiAffinity", "steps/1/allowMiss", "repeatCount",
          "startAtMs", "intervalMs"}) {
        for (const auto* number : {"1e300", "-1e300", "9223372036854775808", "1e400", "[]", "\"7\""}) {
            CAPTURE(path, number);
            CHECK_THROWS_AS(decode(with_value(body, path, number)), core::invalid_argument);
        }
    }
    // 2 to the power of 32 plus 1.
    CHECK_THROWS_AS(decode(with_value(body, "steps/0/count", "4294967297")), core::invalid_argument);
    CHECK_THROWS_AS(decode(with_value(body, "steps/1/after/0", "4294967296")), core::invalid_argument);
    // The last occurrence would be due after the end of the clock's range.
    auto endless = body;
    endless["intervalMs"] = 3000000000000;
    endless["repeatCount"] = 10000;
    CHECK_THROWS_AS(decode(endless.dump()), core::invalid_argument);
}

} // namespace rattanmount::tests
