#include "bench/support/wire_cost.h"

#include "external/http_fleet_client.h"
#include "external/http_log_client.h"
#include "external/http_worker_client.h"
#include "external/worker_codec.h"
#include "inner/conversion.h"
#include "ledger/thrift_bytes.h"
#include "tests/external/stand_in_fixture.h"

#include <stdexcept>

namespace rattanmount::bench {

namespace {

using namespace std::chrono_literals;

constexpr core::milliseconds limit = 2s;
constexpr std::uint32_t tasks = 6;
constexpr std::size_t entry_size = 300;
/// Frame length, name of the call and its limit, in each direction.
constexpr std::uint64_t inner_call_overhead = 26;

std::uint64_t base64_size(std::size_t bytes) {
    return (bytes + 2) / 3 * 4;
}

/// Computes the traffic of a client between two readings of its counters.
class traffic_meter {
public:
    explicit traffic_meter(const external::traffic_counters& counters) : counters(counters) {}

    /// Returns the bytes since the previous call or, the first time, since the client was created.
    call_bytes take() {
        const call_bytes total{.sent = this->counters.bytes_sent, .received = this->counters.bytes_received};
        const call_bytes since{.sent = total.sent - this->previous.sent,
                               .received = total.received - this->previous.received};
        this->previous = total;
        return since;
    }

private:
    const external::traffic_counters& counters;
    call_bytes previous;
};

core::attempt_id attempt_of(std::uint32_t task) {
    return {.job = {.team = core::team_id{"team-100"}, .key = core::request_key{"job-1000"}},
            .task = task,
            .attempt = 1};
}

void require(bool succeeded, const char* what) {
    if (!succeeded) {
        throw std::runtime_error(std::string{"the stand-in refused "} + what);
    }
}

} // namespace

wire_cost::wire_cost() {
    this->measure_worker();
    this->measure_log();
    this->measure_fleet();
}

void wire_cost::measure_worker() {
    const platform_test::workers_fixture stand_in;
    external::http_worker_client client{{}};
    const auto service = client.hooks();
    const auto worker = stand_in.at("/workers/w1");
    external::lease_request request{.holder = core::incarnation_id{"entry-1-1"}, .term = 6s};
    request.renew = service.lease(worker, request, limit).lease;
    traffic_meter traffic{client.counters()};
    traffic.take();
    require(service.lease(worker, request, limit).verdict == external::lease_verdict::granted, "a renewal");
    this->lease_base = traffic.take();
    this->lease_base.sent -= external::encode_lease_request(request).size();
    const core::resources each{.millicores = 500, .memory_mb = 512};
    const std::string payload = R"({"run_ms":5000})";
    for (std::uint32_t task = 0; task < tasks; ++task) {
        const auto reply = service.start(worker, request.renew, attempt_of(task), each, payload, limit);
        require(reply.verdict == external::start_verdict::started, "a start");
        this->start_base = traffic.take();
    }
    this->start_base.sent -= external::encode_start(request.renew, attempt_of(0), each, payload).size();
    require(service.lease(worker, request, limit).inventory.size() == tasks, "an inventory");
    this->bytes_per_listed_task = (traffic.take().received - this->lease_base.received) / tasks;
}

void wire_cost::measure_log() {
    const platform_test::log_fixture stand_in;
    external::http_log_client client{{.address = stand_in.at()}};
    const auto service = client.hooks();
    const core::stream_id stream{"rattanmount.shard-10"};
    traffic_meter traffic{client.counters()};
    const std::string bytes(entry_size, 'x');
    require(service.append(stream, bytes, limit).outcome == external::append_outcome::stored, "an append");
    this->append_base = traffic.take();
    this->append_base.sent -= entry_size;
    require(service.read(stream, core::log_offset{1}, std::size_t{256} * 1024, limit).available, "a read");
    this->empty_read = traffic.take();
    const auto full = service.read(stream, core::log_offset{0}, std::size_t{256} * 1024, limit);
    require(full.entries.size() == 1, "a read of an entry");
    this->bytes_per_listed_entry =
        traffic.take().received - this->empty_read.received - base64_size(entry_size);
}

void wire_cost::measure_fleet() {
    const platform_test::fleet_fixture stand_in;
    external::http_fleet_client client{{.address = stand_in.at()}};
    const auto service = client.hooks();
    service.list(limit);
    traffic_meter traffic{client.counters()};
    traffic.take();
    service.list(limit);
    this->fleet_poll = traffic.take();
}

call_bytes wire_cost::lease(const control::lease_order& order, const external::lease_reply& reply) const {
    return {.sent = this->lease_base.sent + external::encode_lease_request(order.request).size(),
            .received = this->lease_base.received + reply.inventory.size() * this->bytes_per_listed_task};
}

call_bytes wire_cost::start(const control::start_order& order) const {
    const auto body = external::encode_start(order.lease, order.attempt, order.each, order.payload);
    return {.sent = this->start_base.sent + body.size(), .received = this->start_base.received};
}

call_bytes wire_cost::append(const std::string& bytes) const {
    return {.sent = this->append_base.sent + bytes.size(), .received = this->append_base.received};
}

call_bytes wire_cost::read(const external::read_reply& reply) const {
    auto cost = this->empty_read;
    for (const auto& entry : reply.entries) {
        cost.received += this->bytes_per_listed_entry + base64_size(entry.bytes.size());
    }
    return cost;
}

call_bytes wire_cost::heartbeat(const cell::peer_view& sent, const cell::peer_view& answered) const {
    return {.sent = inner_call_overhead + ledger::to_bytes(inner::to_wire(sent)).size(),
            .received = inner_call_overhead + ledger::to_bytes(inner::to_wire(answered)).size()};
}

} // namespace rattanmount::bench
