#include "external/http_caller.h"
#include "platform/store_topic.h"
#include "runtime/elastic_pool.h"
#include "tests/external/scripted_server.h"
#include "tests/inner/stalling_proxy.h"
#include "tests/platform/stand_in_store.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using cell::log_status;

/// The end of the log and the offset of its oldest entry, with which the reply to a read begins.
const std::string offsets(16, '\0');

/// Returns the stream of a store that gives one answer.
class scripted_topic {
public:
    scripted_topic(const std::string& status, const std::string& body)
        : server(platform_test::scripted_server::answer(status, body)),
          log(platform::store_topic{
              std::make_shared<external::http_caller>(
                  external::connection_pool_options{.max_connections = 1, .max_idle = 1, .idle_limit = 1s},
                  false),
              this->server.at(), "keyed.servers"}
                  .as_log()) {}

    platform_test::scripted_server server;
    cell::keyed_log log;
};

} // namespace

// Guards against processes that end, or stop following a stream, because a reply cannot be decoded.
TEST_CASE("a reply of the store that cannot be decoded counts as no answer") {
    for (const std::string body :
         {"", "{", "[]", "7", "{}", R"({"items":7,"endOffset":1})", R"({"items":[],"endOffset":"1"})",
          R"({"items":[],"endOffset":-1})", R"({"items":[],"endOffset":1e300})"}) {
        CAPTURE(body);
        CHECK(scripted_topic{"200 OK", body}.log.newest(1s).status == log_status::unknown);
    }
    // The last record states a length of 9 bytes and has one.
    const std::vector<std::string> reads{"short", offsets + std::string("\0\0\0\x09x", 5)};
    for (const auto& body : reads) {
        CAPTURE(body);
        CHECK(scripted_topic{"200 OK", body}.log.read({.from = core::log_offset{0}}, 1s).status ==
              log_status::unknown);
    }
    for (const std::string body : {"", "[]", R"({"reason":7})", R"({"reason":"seq","sequence":"7"})"}) {
        CAPTURE(body);
        CHECK(scripted_topic{"409 Conflict", body}.log.append({}, {}, 1s).status == log_status::unknown);
    }
}

// LOST: a definite refusal counted as an unknown outcome, and the append was repeated for ever.
TEST_CASE("an append that the store calls invalid is rejected, one that it cannot take now is refused") {
    const auto status_of = [](const std::string& status) {
        return scripted_topic{status, "{}"}.log.append({}, {}, 1s).status;
    };
    CHECK(status_of("400 Bad Request") == log_status::rejected);
    CHECK(status_of("403 Forbidden") == log_status::rejected);
    CHECK(status_of("413 Content Too Large") == log_status::rejected);
    CHECK(status_of("429 Too Many Requests") == log_status::refused);
    CHECK(status_of("503 Service Unavailable") == log_status::refused);
    CHECK(status_of("507 Insufficient Storage") == log_status::refused);
    CHECK(status_of("500 Internal Server Error") == log_status::unknown);
}

TEST_CASE("the limits of a stream leave room for what the store adds to a record") {
    const auto limits = platform::store_topic{nullptr, {}, "keyed.servers"}.as_log().limits;
    CHECK(limits.max_record_bytes == 262143);
    CHECK(limits.max_request_bytes == 2097152);
    CHECK(limits.bytes_per_record == 5);
}

// Guards against hosts that never read past an odd entry.
TEST_CASE("an entry whose key is cut short is skipped") {
    // An entry with a key of 9 bytes of which one is there, and one with the key "b" and the value "y".
    const std::string entries{"\0\0\0\x02\x09x\0\0\0\x03\x01"
                              "by",
                              13};
    const auto answer =
        scripted_topic{"200 OK", offsets + entries}.log.read({.from = core::log_offset{4}}, 1s);
    CHECK(answer.status == log_status::done);
    CHECK(answer.next == core::log_offset{6});
    REQUIRE(answer.items.size() == 1);
    CHECK(answer.items[0].offset == core::log_offset{5});
    CHECK(answer.items[0].record.key == "b");
}

// Guards against one odd entry that hides all others of a page.
TEST_CASE("the newest entries that can be decoded are read if others on the page cannot be") {
    const std::string good = R"({"key":"b","value":"eA==","offset":4})";
    for (const std::string odd :
         {"7", "{}", R"({"key":"a","value":"%%","offset":1})", R"({"key":"a","value":7,"offset":1})",
          R"({"key":"a","value":"eA==","offset":"1"})", "{\"key\":\"\xff\",\"value\":\"%%\",\"offset\":1}"}) {
        CAPTURE(odd);
        std::string page = R"({"items":[)";
        page.append(odd).append(",").append(good).append(R"(],"hasMore":false,"endOffset":5})");
        const auto answer = scripted_topic{"200 OK", page}.log.newest(1s);
        CHECK(answer.status == log_status::done);
        CHECK(answer.next == core::log_offset{5});
        REQUIRE(answer.items.size() == 1);
        CHECK(answer.items[0].record.key == "b");
        CHECK(answer.items[0].record.value == "x");
    }
}

// CONFIG: connections stayed open and nothing arrived on them any more; each read waited for its whole time
// limit on one of them, although the store answered on new ones.
TEST_CASE("a read over a kept connection that is silent is repeated over a new one within its limit") {
    runtime::elastic_pool pool{{.max_threads = 20}};
    stand_in_store store{pool};
    store.put("keyed.op", "config", "1");
    inner::stalling_proxy proxy{store.endpoint()};
    const auto log = platform::store_topic{std::make_shared<external::http_caller>(
                                               external::connection_pool_options{.idle_limit = 10s}, false),
                                           proxy.endpoint(), "keyed.op"}
                         .as_log();
    const auto newest = log.newest(1s);
    REQUIRE(newest.status == log_status::done);

    proxy.stall_open_connections();
    const auto at_end = log.read({.from = newest.next, .wait = 300ms}, 1s);
    CHECK(at_end.status == log_status::done);
    CHECK(at_end.at_end);
    proxy.stall_open_connections();
    CHECK(log.read({.from = core::log_offset{0}}, 600ms).items.size() == 1);
    proxy.stall_open_connections();
    CHECK(log.newest(1s).items.size() == 1);
    CHECK(proxy.accepted == 4);
}

} // namespace rattanmount::tests
