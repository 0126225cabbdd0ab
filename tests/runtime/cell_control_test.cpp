#include "runtime/cell_control.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;

/// The control state of one host whose log is a list.
struct host_fixture {
    std::vector<std::vector<workflow::cell_record>> stored;
    std::vector<std::pair<core::epoch_id, std::vector<workflow::cell_record>>> stored_as_leader;
    log_writer::settled last_settled;
    core::steady_time now{1h};
    std::uint64_t offset = 0;
    std::unique_ptr<cell_control> control;

    explicit host_fixture(double processor_share = 0) {
        cell_control_options options;
        options.election = {.self = core::incarnation_id{"me"}, .random = [] { return 0.5; }};
        options.self = {.host = core::host_id{"host"},
                        .incarnation = core::incarnation_id{"me"},
                        .processor_share = processor_share};
        options.hooks.store = [this](const auto& records, log_writer::settled done) {
            this->stored.push_back(records);
            this->last_settled = std::move(done);
        };
        options.hooks.store_as_leader = [this](core::epoch_id epoch, const auto& records,
                                               const log_writer::settled& done) {
            this->stored_as_leader.emplace_back(epoch, records);
            this->last_settled = done;
        };
        options.hooks.lead_changed = [](bool) {};
        options.hooks.leader_known = [](const auto&) {};
        options.hooks.post = [this](const std::function<void(core::steady_time)>& later) {
            later(this->now);
        };
        options.hooks.configured = [](const auto&) {};
        options.hooks.members_changed = [](const auto&) {};
        this->control = std::make_unique<cell_control>(std::move(options));
    }

    void read(std::vector<workflow::cell_record> records) {
        record_group group{.caught_up = true};
        for (auto& record : records) {
            group.records.emplace_back(core::log_offset{++this->offset}, std::move(record));
        }
        this->control->on_records(group, this->now);
    }

    /// The last records that need no lead are stored: the host is told of them, then whoever waits.
    void settle_stored() {
        this->control->on_stored(this->stored.back(), this->now);
        this->last_settled(write_fate::stored);
    }

    void pass(core::milliseconds time) {
        this->now += time;
        this->control->run(this->now, core::system_time{});
    }

    [[nodiscard]] const workflow::leader_record* last_claim() const {
        return this->stored_as_leader.empty()
                   ? nullptr
                   : std::get_if<workflow::leader_record>(&this->stored_as_leader.back().second.front());
    }
};

workflow::job_accepted accepted(const std::string& key) {
    workflow::job_accepted record;
    record.request = {.key = workflow::job_key{key}, .steps = {workflow::step_request{}}};
    return record;
}

workflow::leader_record lead(std::uint64_t epoch, const std::string& who) {
    return {.epoch = core::epoch_id{epoch},
            .host = core::host_id{"host of " + who},
            .leader = core::incarnation_id{who}};
}

} // namespace

TEST_CASE("a host that has not read the log lately denies no job") {
    host_fixture host;
    CHECK_FALSE(host.control->knows_jobs(host.now));
    host.read({accepted("a")});
    CHECK(host.control->knows_jobs(host.now));
    host.pass(2s);
    CHECK_FALSE(host.control->knows_jobs(host.now));
    CHECK(host.control->phase_of(workflow::job_key{"a"}) == workflow::job_phase::queued);
}

TEST_CASE("a cancellation of a job that is not known is stored") {
    host_fixture host;
    host.read({});
    std::optional<request_fate> fate;
    host.control->cancel(workflow::job_key{"a"}, [&](request_fate told) { fate = told; });
    REQUIRE(std::holds_alternative<workflow::job_cancelled>(host.stored.back().front()));
    host.last_settled(write_fate::stored);
    CHECK(fate == request_fate::stored);
}

TEST_CASE("a job is shown as queued from its acceptance on, before it was read back") {
    host_fixture host;
    host.read({});
    host.control->submit(accepted("a").request, {}, core::system_time{}, [](request_fate) {});
    host.settle_stored();
    CHECK(host.control->phase_of(workflow::job_key{"a"}) == workflow::job_phase::queued);
}

TEST_CASE("a repeat of a submission is stored once") {
    host_fixture host;
    host.read({accepted("a")});
    const auto before = host.stored.size();
    std::optional<request_fate> fate;
    host.control->submit(accepted("a").request, {}, core::system_time{},
                         [&](request_fate told) { fate = told; });
    CHECK(fate == request_fate::stored);
    CHECK(host.stored.size() == before);
}

TEST_CASE("the lead of a silent leader is claimed, and of a living one is not") {
    host_fixture host;
    host.read({lead(3, "other")});
    for (int i = 0; i < 10; i++) {
        host.pass(400ms);
        host.read({lead(3, "other")});
    }
    CHECK(host.stored_as_leader.empty());
    for (int i = 0; i < 5; i++) {
        host.pass(400ms);
        host.read({});
    }
    REQUIRE(host.last_claim() != nullptr);
    CHECK(host.last_claim()->epoch == core::epoch_id{4});
    CHECK_FALSE(host.control->leads());
    host.read({lead(4, "me")});
    CHECK(host.control->leads());
}

TEST_CASE("a host that could not read the log gives the leader time before it claims") {
    host_fixture host;
    host.read({lead(3, "other")});
    host.pass(5s);
    host.read({});
    host.pass(100ms);
    CHECK(host.stored_as_leader.empty());
}

TEST_CASE("the lead of a leader whose host has begun another life is claimed soon") {
    host_fixture host;
    const auto member = [](const std::string& incarnation) {
        return workflow::member_record{.host = core::host_id{"host of other"},
                                       .incarnation = core::incarnation_id{incarnation}};
    };
    const bool met_at_once = GENERATE(false, true);
    if (met_at_once) {
        // A host that starts reads only the newest record of each kind.
        host.read({lead(3, "other"), member("another")});
    } else {
        host.read({member("other"), lead(3, "other")});
        host.read({member("another")});
    }
    host.pass(250ms);
    host.read({});
    host.pass(10ms);
    CHECK(host.last_claim() != nullptr);
}

TEST_CASE("a leader is not taken as gone for an earlier life of its host") {
    host_fixture host;
    host.read({workflow::member_record{.host = core::host_id{"host of other"},
                                       .incarnation = core::incarnation_id{"earlier"}},
               lead(3, "other")});
    host.pass(250ms);
    host.read({});
    host.pass(10ms);
    CHECK(host.last_claim() == nullptr);
}

TEST_CASE("the lead of a leader that resigned is claimed at once") {
    host_fixture host;
    host.read({lead(3, "other")});
    auto resigned = lead(3, "other");
    resigned.resigned = true;
    host.read({resigned});
    host.pass(150ms);
    REQUIRE(host.last_claim() != nullptr);
}

TEST_CASE("a leader that the log fences leads no more and does not take its epoch back") {
    host_fixture host;
    host.read({});
    host.pass(200ms);
    host.read({lead(1, "me")});
    REQUIRE(host.control->leads());
    host.pass(500ms);
    host.last_settled(write_fate::fenced);
    CHECK_FALSE(host.control->leads());
    host.read({lead(1, "me")});
    CHECK_FALSE(host.control->leads());
}

TEST_CASE("of hosts of unlike size a large one claims the lead first, and replaces a small one") {
    const auto member = [](const std::string& name, double share) {
        return workflow::member_record{
            .host = core::host_id{name}, .incarnation = core::incarnation_id{name}, .processor_share = share};
    };
    SECTION("a small host waits for the large ones") {
        host_fixture host{0.12};
        host.read({lead(1, "large"), member("large", 0.5)});
        host.pass(1200ms);
        host.read({});
        host.pass(1ms);
        CHECK(host.last_claim() == nullptr);
        host.pass(400ms);
        host.read({});
        host.pass(1ms);
        REQUIRE(host.last_claim() != nullptr);
        CHECK(host.last_claim()->epoch == core::epoch_id{2});
    }
    SECTION("a large host replaces a small one that leads, after a while") {
        host_fixture host{0.5};
        host.read({lead(1, "small"), member("small", 0.12)});
        for (int i = 0; i < 14; i++) {
            host.pass(200ms);
            host.read({lead(1, "small")});
        }
        CHECK(host.last_claim() == nullptr);
        host.pass(300ms);
        host.read({lead(1, "small")});
        host.pass(100ms);
        REQUIRE(host.last_claim() != nullptr);
        CHECK(host.last_claim()->epoch == core::epoch_id{2});
    }
    SECTION("hosts of one size leave a leader alone") {
        host_fixture host{0.5};
        host.read({lead(1, "other"), member("other", 0.4)});
        for (int i = 0; i < 30; i++) {
            host.pass(200ms);
            host.read({lead(1, "other")});
        }
        CHECK(host.last_claim() == nullptr);
    }
}

TEST_CASE("a leader that the log turns away hands the lead on, and claims none while that lasts") {
    host_fixture host;
    host.read({lead(1, "me")});
    REQUIRE(host.control->leads());
    host.control->on_log_relayed(true, host.now);
    host.pass(300ms);
    CHECK(host.control->leads());
    host.pass(400ms);
    CHECK_FALSE(host.control->leads());
    REQUIRE(host.last_claim() != nullptr);
    CHECK(host.last_claim()->resigned);
    host.read({*host.last_claim()});
    host.pass(3s);
    host.read({});
    host.pass(100ms);
    CHECK(host.last_claim()->resigned);
    host.control->on_log_relayed(false, host.now);
    host.pass(100ms);
    host.read({});
    host.pass(100ms);
    CHECK(host.last_claim()->epoch == core::epoch_id{2});
}

TEST_CASE("an outage of the log for all hosts takes the lead from nobody") {
    host_fixture host;
    host.read({lead(1, "me")});
    host.pass(2s);
    CHECK(host.control->leads());
}

} // namespace rattanmount::tests
