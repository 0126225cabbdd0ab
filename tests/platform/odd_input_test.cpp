#include "core/errors.h"
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

} // namespace rattanmount::tests
