#include "inner/inner.h"
#include "tests/inner/sample_messages.h"

#include <catch2/catch.hpp>

using namespace rattanmount;
using namespace rattanmount::inner;

namespace {

constexpr core::milliseconds call_limit{2000};

const core::endpoint any_port{.address = "127.0.0.1", .port = 0, .path = ""};

} // namespace

TEST_CASE("every call and its answer pass through the inner protocol unchanged") {
    const core::shard_id shard{5};
    cell::peer_calls calls;
    std::vector<std::string> seen;
    calls.heartbeat = [&](const cell::peer_view& view, core::milliseconds limit) {
        CHECK(limit <= call_limit);
        CHECK(limit > call_limit / 2);
        return view;
    };
    calls.submit = [&](core::shard_id to, const core::job_spec& spec, core::milliseconds) {
        CHECK(to == shard);
        CHECK(spec == sample_spec());
        return sample_answer();
    };
    const auto by_id = [&](const std::string& name) {
        return [&, name](core::shard_id to, const core::job_id& id, core::milliseconds) {
            CHECK(to == shard);
            CHECK(id == sample_id());
            seen.push_back(name);
            return sample_answer();
        };
    };
    calls.status = by_id("status");
    calls.cancel = by_id("cancel");
    calls.explain = by_id("explain");
    calls.quick = [&](core::shard_id to, const core::quick_request& request) {
        CHECK(to == shard);
        CHECK(request.limit <= sample_quick().limit);
        CHECK(request.body == sample_quick().body);
        return sample_quick_answer();
    };
    calls.take_job = [&](core::shard_id to, const core::job_spec& spec, core::system_time accepted_at,
                         core::milliseconds) {
        CHECK(to == shard);
        CHECK(spec == sample_spec());
        CHECK(accepted_at == core::from_epoch(core::milliseconds{42}));
        return sample_answer();
    };
    calls.reserve_slot = [&](core::shard_id to, const core::service_id& service,
                             const core::incarnation_id& caller, core::milliseconds request_limit,
                             core::milliseconds) {
        CHECK(to == shard);
        CHECK(service.value() == "template");
        CHECK(caller.value() == "entry-1:abc");
        CHECK(request_limit == core::milliseconds{700});
        return sample_grant();
    };
    calls.release_slot = [&](core::shard_id to, std::uint64_t grant, cell::slot_release how,
                             core::milliseconds) {
        CHECK(to == shard);
        CHECK(grant == 77);
        CHECK(how == cell::slot_release::lost);
        seen.emplace_back("release_slot");
    };
    calls.copy_config = [](core::milliseconds) {
        return cell::config_copy{.available = true, .next = core::log_offset{4}, .state = "state"};
    };
    calls.timeline = [](core::milliseconds) { return std::string{"{}\n"}; };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();

    const auto peer = make_peer_connector({})(server.endpoint());
    CHECK(peer.heartbeat(sample_view(), call_limit) == sample_view());
    CHECK(peer.submit(shard, sample_spec(), call_limit).answer.reason == "cancelled");
    CHECK(peer.status(shard, sample_id(), call_limit).answer.status->spec == sample_spec());
    CHECK(peer.cancel(shard, sample_id(), call_limit).is_owner);
    CHECK(peer.explain(shard, sample_id(), call_limit).explanation == sample_answer().explanation);
    CHECK(peer.quick(shard, sample_quick()).answer.body == sample_quick_answer().answer.body);
    CHECK(peer.take_job(shard, sample_spec(), core::from_epoch(core::milliseconds{42}), call_limit).is_owner);
    CHECK(peer.reserve_slot(shard, core::service_id{"template"}, core::incarnation_id{"entry-1:abc"},
                            core::milliseconds{700}, call_limit)
              .grant == 77);
    peer.release_slot(shard, 77, cell::slot_release::lost, call_limit);
    CHECK(peer.copy_config(call_limit).state == "state");
    CHECK(peer.timeline(call_limit) == "{}\n");
    CHECK(seen == std::vector<std::string>{"status", "cancel", "explain", "release_slot"});
    CHECK(server.counters().calls == 11);
    CHECK(server.counters().connections == 2);
}

TEST_CASE("a read of the log arrives at the peer with its position, wait and size") {
    const cell::log_read_request request{
        .from = core::log_offset{7}, .wait = core::milliseconds{100}, .max_bytes = 65536};
    cell::log_read_request seen;
    cell::peer_calls calls;
    calls.read_log = [&](const std::string& stream, const cell::log_read_request& read, core::milliseconds) {
        CHECK(stream == "cell");
        seen = read;
        return cell::log_read_answer{.status = cell::log_status::done, .next = read.from, .at_end = true};
    };
    inner_server server{{.listen = any_port, .calls = calls}};
    server.start();
    const auto answer = make_peer_connector({})(server.endpoint()).read_log("cell", request, call_limit);
    CHECK(answer.status == cell::log_status::done);
    CHECK(answer.next == request.from);
    CHECK(answer.at_end);
    CHECK(seen.from == request.from);
    CHECK(seen.wait == request.wait);
    CHECK(seen.max_bytes == request.max_bytes);
}
