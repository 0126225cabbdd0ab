#include "core/errors.h"
#include "telemetry/logging.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <iostream>
#include <ostream>
#include <sstream>
#include <streambuf>

using namespace rattanmount;
using namespace rattanmount::telemetry;

namespace {

/// @return the line that one call of log_state() writes.
std::string logged_line(const logging_options& options, log_level level = log_level::info) {
    static std::ostringstream out; // Static, because the process's logger keeps a reference to it.
    out.str("");
    configure_logging(options, out);
    log_state("shard claimed", {{"shard", "3"}, {"why", "its \"owner\" left"}, {"note", ""}}, level);
    return out.str();
}

} // namespace

TEST_CASE("a log line in text format has key=value pairs, quoted if needed") {
    CHECK_THAT(logged_line({}), Catch::Matches("time=[0-9T:.-]+Z level=info what=\"shard claimed\" shard=3 "
                                               "why=\"its \\\\\"owner\\\\\" left\" note=\"\"\n"));
}

TEST_CASE("a log line in JSON format is one JSON object") {
    const auto line = nlohmann::json::parse(logged_line({.format = log_format::json}, log_level::warning));
    CHECK(line["level"] == "warning");
    CHECK(line["what"] == "shard claimed");
    CHECK(line["why"] == "its \"owner\" left");
}

// Guards against lines as long as the input that they report on.
TEST_CASE("a value in a log line has a bounded length") {
    std::ostringstream out;
    configure_logging({.format = log_format::json}, out);
    log_state("entry skipped", {{"reason", std::string(1000000, 'a') + "\xc3"}});
    configure_logging({}, std::cerr);
    CHECK(out.str().size() < 2000);
    CHECK_THAT(nlohmann::json::parse(out.str())["reason"].get<std::string>(),
               Catch::StartsWith("aaa") && Catch::EndsWith("..."));
}

TEST_CASE("lines below the configured level are not written") {
    CHECK(logged_line({.level = log_level::warning}).empty());
    CHECK_FALSE(logged_line({.level = log_level::warning}, log_level::error).empty());
}

// Guards against callers of log_state() that block on a stalled output stream. The stream here blocks every
// write until the test releases it.
TEST_CASE("a blocked output stream does not block callers, and dropped lines are counted") {
    /// Blocks every write until `released` is set.
    class blocking_buffer : public std::streambuf {
    public:
        std::promise<void> released;

    protected:
        int overflow(int letter) override {
            this->wait();
            return letter;
        }
        std::streamsize xsputn(const char* /*text*/, std::streamsize size) override {
            this->wait();
            return size;
        }

    private:
        void wait() { this->release.wait(); }

        std::shared_future<void> release{this->released.get_future()};
    };
    static blocking_buffer buffer; // Static, because the process's logger keeps a reference to the stream.
    static std::ostream out{&buffer};
    constexpr std::size_t queue_capacity = 16;
    constexpr int lines = 100;
    configure_async_logging({}, out, queue_capacity);
    for (int i = 0; i < lines; i++) {
        log_state("a line", {});
    }
    CHECK(dropped_log_lines() >= lines - queue_capacity - 1);
    buffer.released.set_value();
    configure_logging({});
}

TEST_CASE("log levels and formats are parsed by name") {
    CHECK(parse_log_level("error") == log_level::error);
    CHECK(parse_log_format("json") == log_format::json);
    CHECK_THROWS_AS(static_cast<void>(parse_log_level("INFO")), core::invalid_argument);
    CHECK_THROWS_AS(static_cast<void>(parse_log_format("")), core::invalid_argument);
}
