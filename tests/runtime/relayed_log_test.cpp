#include "core/errors.h"
#include "runtime/relayed_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;
using cell::log_status;

/// A log that answers with a given result and records the appends.
struct scripted_log {
    log_status status = log_status::done;
    int appends = 0;
    std::vector<core::sequence_number> sequences;

    cell::keyed_log as_log() {
        return {.append =
                    [this](const auto&, const cell::producer_stamp& stamp, auto) {
                        this->appends++;
                        this->sequences.push_back(stamp.sequence);
                        return cell::log_append_answer{.status = this->status};
                    },
                .read =
                    [this](const auto& request, auto) {
                        return cell::log_read_answer{.status = this->status, .next = request.from};
                    },
                .newest = [this](auto) { return cell::log_newest_answer{.status = this->status}; }};
    }
};

peer_directory::peer peer_with(const std::string& name, relayed_log& log) {
    cell::peer_calls calls;
    calls.append_log = [&log](const std::string&, const auto& items, const auto& stamp, auto limit) {
        return log.as_direct_log().append(items, stamp, limit);
    };
    calls.read_log = [&log](const std::string&, const auto& request, auto limit) {
        return log.as_direct_log().read(request, limit);
    };
    return {.incarnation = core::incarnation_id{name}, .calls = calls};
}

const cell::producer_stamp stamp{
    .producer = "p", .epoch = core::epoch_id{1}, .sequence = core::sequence_number{7}};

} // namespace

TEST_CASE("a host that the log does not answer appends and reads through a peer with its own sequence") {
    scripted_log own_log{.status = log_status::refused};
    scripted_log peer_log;
    relayed_log peer{{.stream = "cell", .direct = peer_log.as_log(), .peers = [] {
                          return std::vector<peer_directory::peer>{};
                      }}};
    relayed_log log{{.stream = "cell", .direct = own_log.as_log(), .peers = [&] {
                         return std::vector{peer_with("other", peer)};
                     }}};
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::done);
    CHECK(peer_log.sequences == std::vector{core::sequence_number{7}});
    CHECK(log.as_log().read({.from = core::log_offset{3}}, 1s).status == log_status::done);
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::done);
    CHECK(own_log.appends == 1); // Direct calls are retried only after the probe interval.
}

TEST_CASE("an append without an answer stays unknown if no peer answers either") {
    scripted_log own_log{.status = log_status::unknown};
    relayed_log log{{.stream = "cell", .direct = own_log.as_log(), .peers = [] {
                         return std::vector<peer_directory::peer>{};
                     }}};
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::unknown);
}

TEST_CASE("in an outage for all hosts, peers relay no calls and an append is reported as refused") {
    scripted_log own_log{.status = log_status::refused};
    scripted_log peer_log{.status = log_status::refused};
    relayed_log peer{{.stream = "cell", .direct = peer_log.as_log(), .peers = [] {
                          return std::vector<peer_directory::peer>{};
                      }}};
    CHECK(peer.as_log().append({}, stamp, 1s).status == log_status::refused);
    CHECK_THROWS_AS(peer.as_direct_log().append({}, stamp, 1s), core::unavailable);
    peer_log.status = log_status::done;
    CHECK(peer.as_log().append({}, stamp, 1s).status ==
          log_status::done); // Direct calls continue at once, because no peer relays them.
    peer_log.status = log_status::refused;
    CHECK(peer.as_log().append({}, stamp, 1s).status == log_status::refused);
    relayed_log log{{.stream = "cell", .direct = own_log.as_log(), .peers = [&] {
                         return std::vector{peer_with("other", peer)};
                     }}};
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::refused);
    CHECK(peer_log.appends == 3);
}

// An outage of the log for all hosts of a large fleet: every host asked the same two peers, each for longer
// than a probe takes, and noticed the return of the log up to 3 s late.
TEST_CASE("in an outage for all hosts, calls to peers are spread, short and rare") {
    scripted_log own_log{.status = log_status::refused};
    std::vector<std::string> asked;
    std::vector<core::milliseconds> limits;
    const auto silent_peer = [&](const std::string& name) {
        cell::peer_calls calls;
        calls.read_log = [&asked, &limits, name](const std::string&, const cell::log_read_request& request,
                                                 core::milliseconds limit) -> cell::log_read_answer {
            asked.push_back(name);
            limits.push_back(std::max(request.wait, limit));
            throw core::outcome_unknown("no answer");
        };
        return peer_directory::peer{.incarnation = core::incarnation_id{name}, .calls = calls};
    };
    std::size_t drawn = 0;
    relayed_log log{
        {.stream = "cell",
         .direct = own_log.as_log(),
         .peers =
             [&] {
                 return std::vector{silent_peer("a"), silent_peer("b"), silent_peer("c"), silent_peer("d")};
             },
         .peers_pause = 50ms,
         .random = [&] { return drawn += 2; }}};
    const auto read = [&] {
        return log.as_log().read({.from = core::log_offset{3}, .wait = 700ms}, 1400ms).status;
    };
    CHECK(read() != log_status::done);
    CHECK(asked == std::vector<std::string>{"c", "d", "a"});
    CHECK(*std::max_element(limits.begin(), limits.end()) <= 400ms);
    CHECK(read() != log_status::done);
    CHECK(asked.size() == 3); // All peers failed just now.
    std::this_thread::sleep_for(60ms);
    own_log.status = log_status::done;
    CHECK(read() == log_status::done);
    CHECK(asked.size() == 3);
}

// CONFIG: a host applied no configuration for 11 s, because it read the newest entries through silent peers,
// each for 3 s, while the log answered it directly.
TEST_CASE(
    "silent peers take no longer than the limit of a call together, and the log is then asked directly") {
    constexpr auto limit = 1000ms;
    scripted_log own_log{.status = log_status::unknown};
    core::milliseconds waited{0};
    const auto peer_that = [&](const std::string& name, log_status status) {
        cell::peer_calls calls;
        calls.read_log = [status](const std::string&, const auto& request, auto) {
            return cell::log_read_answer{.status = status, .next = request.from};
        };
        calls.newest_log = [&waited](const std::string&,
                                     core::milliseconds given) -> cell::log_newest_answer {
            waited += given;
            throw core::outcome_unknown("no answer");
        };
        return peer_directory::peer{.incarnation = core::incarnation_id{name}, .calls = calls};
    };
    relayed_log log{{.stream = "configuration", .direct = own_log.as_log(), .peers = [&] {
                         return std::vector{peer_that("a", log_status::expired),
                                            peer_that("b", log_status::expired),
                                            peer_that("c", log_status::expired)};
                     }}};
    REQUIRE(log.as_log().read({.from = core::log_offset{3}, .wait = 700ms}, 1400ms).status ==
            log_status::expired);
    own_log.status = log_status::done;
    CHECK(log.as_log().newest(limit).status != log_status::done);
    CHECK(waited <= limit);
    CHECK(log.as_log().newest(limit).status == log_status::done);
}

TEST_CASE("no peer is called while the log answers") {
    scripted_log own_log;
    relayed_log log{
        {.stream = "cell", .direct = own_log.as_log(), .peers = []() -> std::vector<peer_directory::peer> {
             throw std::logic_error("a peer was called");
         }}};
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::done);
    own_log.status = log_status::fenced;
    CHECK(log.as_log().append({}, stamp, 1s).status == log_status::fenced);
}

} // namespace rattanmount::tests
