#include "runtime/cell_control.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;

/// The control state of one host, with a log that only collects what is stored.
struct host_fixture {
    std::vector<std::vector<workflow::cell_record>> stored;
    std::vector<std::pair<core::epoch_id, std::vector<workflow::cell_record>>> stored_as_leader;
    log_writer::write_callback last_callback;
    std::vector<dispatch::start_order> starts;
    std::vector<dispatch::hold_order> holds;
    core::steady_time now{1h};
    std::uint64_t offset = 0;
    std::shared_ptr<const workflow::configuration> configuration;
    std::unique_ptr<cell_control> control;

    explicit host_fixture(double processor_share = 0, double link_mbps = 0) {
        cell_control_options options;
        options.election = {.self = core::incarnation_id{"me"}, .random = [] { return 0.5; }};
        options.self = {.host = core::host_id{"host"},
                        .incarnation = core::incarnation_id{"me"},
                        .processor_share = processor_share,
                        .link_mbps = link_mbps};
        options.hooks.store = [this](const auto& records, log_writer::write_callback done) {
            this->stored.push_back(records);
            this->last_callback = std::move(done);
        };
        options.hooks.store_as_leader = [this](core::epoch_id epoch, const auto& records,
                                               const log_writer::write_callback& done) {
            this->stored_as_leader.emplace_back(epoch, records);
            this->last_callback = done;
        };
        options.hooks.leadership_changed = [](bool) {};
        options.hooks.leader_changed = [](const auto&) {};
        options.hooks.post = [this](const std::function<void(core::steady_time)>& later) {
            later(this->now);
        };
        options.hooks.configuration_changed = [this](const auto& version) { this->configuration = version; };
        options.hooks.members_changed = [](const auto&) {};
        options.dispatch.hooks = {
            .start = [this](const dispatch::start_order& order) { this->starts.push_back(order); },
            .stop = [](const dispatch::stop_order&) {},
            .hold = [this](const dispatch::hold_order& order) { this->holds.push_back(order); },
            .pace = [](const dispatch::pace_order&) {},
            .advise = [](const dispatch::advice_order&) {}};
        this->control = std::make_unique<cell_control>(std::move(options));
    }

    void read(std::vector<workflow::cell_record> records) {
        record_batch batch{.caught_up = true, .asked_at = this->now};
        for (auto& record : records) {
            batch.records.emplace_back(core::log_offset{++this->offset}, std::move(record));
        }
        this->control->on_records(batch, this->now);
    }

    /// Confirms the last call of the hook store(), first to the host and then to its callback.
    void complete_store() {
        this->control->on_stored(this->stored.back(), this->now);
        this->last_callback(write_outcome::stored);
    }

    void advance(core::milliseconds time) {
        this->now += time;
        this->control->run(this->now, core::system_time{});
    }

    /// Makes this host the leader, of one worker that has answered and is in the roster of the log.
    void lead_one_worker() {
        constexpr dispatch::worker_incarnation_id incarnation{1};
        this->read(
            {workflow::leader_record{.epoch = core::epoch_id{1}, .leader = core::incarnation_id{"me"}}});
        auto& dispatcher = this->control->job_dispatcher();
        dispatcher.set_worker_list({{.worker = core::worker_id{"w"}, .incarnation = incarnation}}, this->now);
        for (int i = 0; i < 2; i++) {
            this->advance(200ms);
            this->last_callback(write_outcome::stored);
            dispatcher.on_hold_reply(this->holds.back(),
                                     {.answered = true,
                                      .received_at = this->now,
                                      .incarnation = incarnation,
                                      .lists_all_ends = true},
                                     this->now);
        }
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

workflow::leader_record leader_record(std::uint64_t epoch, const std::string& who) {
    return {.epoch = core::epoch_id{epoch},
            .host = core::host_id{"host of " + who},
            .leader = core::incarnation_id{who}};
}

} // namespace

TEST_CASE("a host that has not read the log recently does not deny the existence of a job") {
    host_fixture host;
    CHECK_FALSE(host.control->is_up_to_date(host.now));
    host.read({accepted("a")});
    CHECK(host.control->is_up_to_date(host.now));
    host.advance(2s);
    CHECK_FALSE(host.control->is_up_to_date(host.now));
    CHECK(host.control->phase_of(workflow::job_key{"a"}) == workflow::job_phase::queued);
}

// LOST: a read that was answered or applied late counted as one of that moment, so that a host could deny a
// job that had been accepted for longer than it may be unknown.
TEST_CASE("a read that arrives late shows the log as of when it was sent") {
    host_fixture host;
    host.read({});
    const auto sent_at = host.now;
    host.advance(2s);
    host.control->on_records({.caught_up = true, .asked_at = sent_at}, host.now);
    CHECK(host.control->is_up_to_date(host.now));
    host.advance(300ms);
    CHECK_FALSE(host.control->is_up_to_date(host.now));
}

TEST_CASE("the cancellation of an unknown job is stored") {
    host_fixture host;
    host.read({});
    std::optional<request_outcome> outcome;
    host.control->cancel(workflow::job_key{"a"}, [&](request_outcome value) { outcome = value; });
    REQUIRE(std::holds_alternative<workflow::job_cancelled>(host.stored.back().front()));
    host.last_callback(write_outcome::stored);
    CHECK(outcome == request_outcome::stored);
}

TEST_CASE("a job is queued as soon as it is stored, before it is read back from the log") {
    host_fixture host;
    host.read({});
    host.control->submit(accepted("a"), [](request_outcome) {});
    host.complete_store();
    CHECK(host.control->phase_of(workflow::job_key{"a"}) == workflow::job_phase::queued);
}

// TWICE: a leader that had not read the claim of its successor started a job that it had just stored; the
// successor had read the job as one that nobody had started, and started it too.
TEST_CASE("a leader starts a job that it has stored only once the log has proved that it led then") {
    host_fixture host;
    host.lead_one_worker();
    host.control->submit(accepted("a"), [](request_outcome) {});
    host.advance(10ms);
    const auto store_job = [&host] { host.control->on_stored({accepted("a")}, host.now); };
    SECTION("by a read of the job") {
        store_job();
        host.advance(10ms);
        CHECK(host.starts.empty());
        host.read({accepted("a")});
        host.advance(10ms);
        CHECK(host.starts.size() == 1);
    }
    SECTION("by a read that was sent afterwards") {
        store_job();
        const auto stored_at = host.now;
        host.advance(10ms);
        host.control->on_records({.caught_up = true, .asked_at = stored_at - 1ms}, host.now);
        host.advance(10ms);
        CHECK(host.starts.empty());
        host.control->on_records({.caught_up = true, .asked_at = stored_at + 1ms}, host.now);
        host.advance(10ms);
        CHECK(host.starts.size() == 1);
    }
    SECTION("by a heartbeat that was sent afterwards") {
        host.advance(300ms);
        const auto heartbeat_sent_before = host.last_callback;
        host.advance(10ms);
        store_job();
        heartbeat_sent_before(write_outcome::stored);
        host.advance(10ms);
        CHECK(host.starts.empty());
        host.advance(300ms);
        host.last_callback(write_outcome::stored);
        host.advance(10ms);
        CHECK(host.starts.size() == 1);
    }
    SECTION("never, if the claim of a successor comes before the job") {
        store_job();
        host.advance(10ms);
        host.read({leader_record(2, "other"), accepted("a")});
        host.advance(10ms);
        CHECK(host.starts.empty());
    }
}

TEST_CASE("a repeated submission is stored once") {
    host_fixture host;
    host.read({accepted("a")});
    const auto before = host.stored.size();
    std::optional<request_outcome> outcome;
    host.control->submit(accepted("a"), [&](request_outcome value) { outcome = value; });
    CHECK(outcome == request_outcome::stored);
    CHECK(host.stored.size() == before);
}

TEST_CASE("versions of the configuration with the same teams share their keys") {
    host_fixture host;
    workflow::configuration version{.version = 1, .teams = {{.keys = {tenancy::api_key{"a"}}}}};
    host.control->on_configuration(version);
    const auto keys = host.configuration->keys;
    version.version = 2;
    host.control->on_configuration(version);
    CHECK(host.configuration->version == 2);
    CHECK(host.configuration->keys == keys);
    version.version = 3;
    version.teams.front().keys = {tenancy::api_key{"b"}};
    host.control->on_configuration(version);
    CHECK(host.configuration->keys->team_of(tenancy::api_key{"b"}));
    CHECK_FALSE(host.configuration->keys->team_of(tenancy::api_key{"a"}));
}

TEST_CASE("a job that has ended still belongs to its team on a host that reads only the newest records") {
    host_fixture host;
    host.read({workflow::job_progress{.key = workflow::job_key{"a"},
                                      .phase = workflow::job_phase::completed,
                                      .team = core::team_id{"owner"}}});
    const auto phase_for = [&](const std::string& team) {
        return host.control->phase_of(workflow::job_key{"a"}, {.team = core::team_id{team}});
    };
    CHECK(phase_for("owner") == workflow::job_phase::completed);
    CHECK_FALSE(phase_for("other"));
    CHECK_FALSE(phase_for(""));
}

TEST_CASE("leadership is claimed if the leader sends no heartbeats, and not while it does") {
    host_fixture host;
    host.read({leader_record(3, "other")});
    for (int i = 0; i < 10; i++) {
        host.advance(400ms);
        host.read({leader_record(3, "other")});
    }
    CHECK(host.stored_as_leader.empty());
    for (int i = 0; i < 5; i++) {
        host.advance(400ms);
        host.read({});
    }
    REQUIRE(host.last_claim() != nullptr);
    CHECK(host.last_claim()->epoch == core::epoch_id{4});
    CHECK_FALSE(host.control->leads());
    host.read({leader_record(4, "me")});
    CHECK(host.control->leads());
}

TEST_CASE("a host that could not read the log waits for the leader before it claims leadership") {
    host_fixture host;
    host.read({leader_record(3, "other")});
    host.advance(5s);
    host.read({});
    host.advance(100ms);
    CHECK(host.stored_as_leader.empty());
}

TEST_CASE("leadership is claimed early if the leader's host has restarted") {
    host_fixture host;
    const auto member = [](const std::string& incarnation) {
        return workflow::member_record{.host = core::host_id{"host of other"},
                                       .incarnation = core::incarnation_id{incarnation}};
    };
    const bool reads_newest_only = GENERATE(false, true);
    if (reads_newest_only) {
        // A starting host reads only the newest record of each key.
        host.read({leader_record(3, "other"), member("another")});
    } else {
        host.read({member("other"), leader_record(3, "other")});
        host.read({member("another")});
    }
    host.advance(250ms);
    host.read({});
    host.advance(10ms);
    CHECK(host.last_claim() != nullptr);
}

TEST_CASE("an earlier incarnation of the leader's host does not make the leader count as gone") {
    host_fixture host;
    host.read({workflow::member_record{.host = core::host_id{"host of other"},
                                       .incarnation = core::incarnation_id{"earlier"}},
               leader_record(3, "other")});
    host.advance(250ms);
    host.read({});
    host.advance(10ms);
    CHECK(host.last_claim() == nullptr);
}

TEST_CASE("leadership is claimed at once if the leader has resigned") {
    host_fixture host;
    host.read({leader_record(3, "other")});
    auto resigned = leader_record(3, "other");
    resigned.resigned = true;
    host.read({resigned});
    host.advance(150ms);
    REQUIRE(host.last_claim() != nullptr);
}

TEST_CASE("a fenced leader loses leadership and does not regain it in the same epoch") {
    host_fixture host;
    host.read({});
    host.advance(200ms);
    host.read({leader_record(1, "me")});
    REQUIRE(host.control->leads());
    host.advance(500ms);
    host.last_callback(write_outcome::fenced);
    CHECK_FALSE(host.control->leads());
    host.read({leader_record(1, "me")});
    CHECK_FALSE(host.control->leads());
}

TEST_CASE("a host with a much larger processor share claims leadership first and replaces a smaller leader") {
    const auto member = [](const std::string& name, double share, double link_mbps = 0) {
        return workflow::member_record{.host = core::host_id{name},
                                       .incarnation = core::incarnation_id{name},
                                       .processor_share = share,
                                       .link_mbps = link_mbps};
    };
    SECTION("a small host delays its claim in favour of larger hosts") {
        host_fixture host{0.12};
        host.read({leader_record(1, "large"), member("large", 0.5)});
        host.advance(1200ms);
        host.read({});
        host.advance(1ms);
        CHECK(host.last_claim() == nullptr);
        host.advance(400ms);
        host.read({});
        host.advance(1ms);
        REQUIRE(host.last_claim() != nullptr);
        CHECK(host.last_claim()->epoch == core::epoch_id{2});
    }
    SECTION("a large host replaces a small leader after a delay") {
        host_fixture host{0.5};
        host.read({leader_record(1, "small"), member("small", 0.12)});
        for (int i = 0; i < 14; i++) {
            host.advance(200ms);
            host.read({leader_record(1, "small")});
        }
        CHECK(host.last_claim() == nullptr);
        host.advance(300ms);
        host.read({leader_record(1, "small")});
        host.advance(100ms);
        REQUIRE(host.last_claim() != nullptr);
        CHECK(host.last_claim()->epoch == core::epoch_id{2});
    }
    SECTION("a host with a narrow link delays its claim in favour of those with a much better one") {
        host_fixture host{0.3, 10};
        host.read({leader_record(1, "large"), member("large", 0.5, 200)});
        host.advance(1200ms);
        host.read({});
        host.advance(1ms);
        CHECK(host.last_claim() == nullptr);
    }
    SECTION("a host does not give way to a smaller one that has a better link") {
        host_fixture host{0.5, 10};
        host.read({leader_record(1, "small"), member("small", 0.4, 200)});
        host.advance(1200ms);
        host.read({});
        host.advance(1ms);
        CHECK(host.last_claim() != nullptr);
    }
    SECTION("a host of similar size does not replace the leader") {
        host_fixture host{0.5};
        host.read({leader_record(1, "other"), member("other", 0.4)});
        for (int i = 0; i < 30; i++) {
            host.advance(200ms);
            host.read({leader_record(1, "other")});
        }
        CHECK(host.last_claim() == nullptr);
    }
}

TEST_CASE("a leader that reaches the log only through peers steps down and claims again only afterwards") {
    host_fixture host;
    host.read({leader_record(1, "me")});
    REQUIRE(host.control->leads());
    host.control->on_log_relayed(true, host.now);
    host.advance(300ms);
    CHECK(host.control->leads());
    host.advance(400ms);
    CHECK_FALSE(host.control->leads());
    REQUIRE(host.last_claim() != nullptr);
    CHECK(host.last_claim()->resigned);
    host.read({*host.last_claim()});
    host.advance(3s);
    host.read({});
    host.advance(100ms);
    CHECK(host.last_claim()->resigned);
    host.control->on_log_relayed(false, host.now);
    host.advance(100ms);
    host.read({});
    host.advance(100ms);
    CHECK(host.last_claim()->epoch == core::epoch_id{2});
}

TEST_CASE("a leader keeps leadership during an outage of the log for all hosts") {
    host_fixture host;
    host.read({leader_record(1, "me")});
    host.advance(2s);
    CHECK(host.control->leads());
}

} // namespace rattanmount::tests
