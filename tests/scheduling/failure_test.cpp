#include "tests/scheduling/virtual_shard.h"

#include <catch2/catch.hpp>

using namespace rattanmount;
using namespace rattanmount::scheduling;
using namespace rattanmount::scheduling::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr core::resources worker_size{.millicores = 16000, .memory_mb = 65536};
constexpr core::resources one_core{.millicores = 1000, .memory_mb = 2048};
const core::worker_id broken{"w1"};

void submit_stream(virtual_shard& shard, int jobs, milliseconds apart) {
    const auto begin = shard.now;
    for (int job = 0; job < jobs; ++job) {
        shard.submit(make_job("t" + std::to_string(job % 3), std::to_string(job), "batch", one_core),
                     seconds{1}, begin + apart * job);
    }
}

std::size_t starts_on(const virtual_shard& shard, const core::worker_id& worker, core::steady_time after) {
    return static_cast<std::size_t>(
        std::count_if(shard.starts.begin(), shard.starts.end(),
                      [&](const auto& record) { return record.worker == worker && record.at > after; }));
}

/// A fully used worker on which an urgent job waits for resources.
struct full_worker {
    explicit full_worker(const std::function<void(core::job_spec&)>& change, bool preemptible = true)
        : shard({.urgent_reserve = 0.0}) {
        auto urgent = make_pool("urgent", 9);
        urgent.urgent = true;
        this->shard.add_pool(urgent);
        auto batch = make_pool("batch");
        batch.preemptible = preemptible;
        this->shard.add_pool(batch);
        this->shard.add_workers(1, 1, {.millicores = 4000, .memory_mb = 65536});
        for (int job = 0; job < 4; ++job) {
            auto spec = make_job("t", std::to_string(job), "batch", one_core);
            change(spec);
            this->shard.submit(spec, minutes{5});
            this->shard.step();
            this->shard.run_for(seconds{1});
        }
        REQUIRE(this->shard.running.size() == 4);
        this->shard.decisions.add_job(make_job("vendor", "now", "urgent", one_core), this->shard.now, {0});
        this->shard.now += milliseconds{300};
        CHECK(this->shard.decisions.place(this->shard.now, 10).empty());
    }

    std::vector<preemption> preempt() { return this->shard.decisions.preempt(this->shard.now); }

    virtual_shard shard;
};

} // namespace

TEST_CASE("a worker that fails tasks others finish is quarantined, probed and restored") {
    virtual_shard shard;
    shard.add_pool(make_pool("batch"));
    shard.add_workers(4, 2, {.millicores = 4000, .memory_mb = 65536});
    bool repaired = false;
    shard.attempt_outcome = [&](const core::attempt_id&, const core::worker_id& worker) {
        return worker == broken && !repaired ? core::attempt_end::failed : core::attempt_end::finished;
    };
    submit_stream(shard, 3000, milliseconds{100});
    const auto begin = shard.now;
    shard.run_until(begin + seconds{30});
    const auto probed = starts_on(shard, broken, begin + seconds{30});
    shard.run_until(begin + seconds{58});
    CHECK(starts_on(shard, broken, begin + seconds{30}) == probed);
    shard.run_until(begin + seconds{130});
    CHECK(starts_on(shard, broken, begin + seconds{30}) == 1);
    repaired = true;
    shard.run_until(begin + seconds{320});
    CHECK(starts_on(shard, broken, begin + seconds{130}) >= 1);
    CHECK(shard.finished.size() == 3000);
}

TEST_CASE("failures of one work class count only after another worker finished the job") {
    quarantine health({.failure_threshold = 3});
    health.set_worker_count(10);
    const core::pool_id pool{"batch"};
    const core::steady_time now{seconds{100}};
    const auto job = [](int key) { return make_job("t", std::to_string(key), "batch", one_core).id; };
    for (int key = 0; key < 10; ++key) {
        health.record_failure(broken, job(key), pool, now);
    }
    CHECK(health.phase(broken) == quarantine_phase::clear);
    health.record_success(core::worker_id{"w2"}, job(0), pool, now, now);
    health.record_success(core::worker_id{"w3"}, job(0), pool, now, now);
    health.record_success(core::worker_id{"w2"}, job(1), pool, now, now);
    CHECK(health.phase(broken) == quarantine_phase::clear);
    health.record_success(core::worker_id{"w2"}, job(2), pool, now, now);
    CHECK(health.phase(broken) == quarantine_phase::quarantined);
    CHECK(health.quarantined_until(broken) == now + minutes{1});
}

TEST_CASE("the quarantine stays empty after any number of jobs that fail on each worker they run on") {
    quarantine health({.failure_threshold = 3});
    health.set_worker_count(10);
    const core::steady_time now{seconds{100}};
    for (int key = 0; key < 50; ++key) {
        const auto bad = make_job("t" + std::to_string(key % 4), std::to_string(key), "batch", one_core).id;
        for (int worker = 0; worker < 3; ++worker) {
            health.record_failure(core::worker_id{"w" + std::to_string(worker)}, bad, core::pool_id{"batch"},
                                  now);
        }
    }
    CHECK(health.quarantined_count() == 0);
}

TEST_CASE("at most max_share of the workers is in quarantine at once") {
    quarantine health({.failure_threshold = 3, .max_share = 0.25});
    health.set_worker_count(8);
    const core::steady_time now{seconds{100}};
    for (int refusal = 0; refusal < 3; ++refusal) {
        for (int worker = 0; worker < 8; ++worker) {
            health.record_refusal(core::worker_id{"w" + std::to_string(worker)}, now);
        }
    }
    CHECK(health.quarantined_count() == 2);
}

TEST_CASE("every worker of a shard still gets tasks after jobs that failed everywhere") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("batch"));
    shard.add_workers(4, 2, worker_size);
    shard.attempt_outcome = [](const core::attempt_id& attempt, const core::worker_id&) {
        return attempt.job.team.value() == "bad" ? core::attempt_end::failed : core::attempt_end::finished;
    };
    for (int job = 0; job < 40; ++job) {
        shard.submit(make_job("bad", std::to_string(job), "batch", one_core), seconds{1});
    }
    submit_stream(shard, 300, milliseconds{100});
    shard.run_for(minutes{2});
    CHECK(shard.finished.size() == 300);
    for (int job = 0; job < 40; ++job) {
        shard.decisions.remove_job(make_job("bad", std::to_string(job), "batch", one_core).id);
    }
    shard.run_for(seconds{2});
    REQUIRE(shard.running.empty());
    const auto before = shard.now - milliseconds{1};
    for (int job = 0; job < 4; ++job) {
        shard.submit(make_job("t", "wide" + std::to_string(job), "batch", worker_size), seconds{1});
    }
    shard.run_for(seconds{3});
    for (int worker = 0; worker < 4; ++worker) {
        CHECK(starts_on(shard, core::worker_id{"w" + std::to_string(worker)}, before) == 1);
    }
}

TEST_CASE("a task is not retried on a worker on which it failed while others fit") {
    virtual_shard shard;
    shard.add_pool(make_pool("batch"));
    shard.add_workers(3, 3, worker_size);
    shard.attempt_outcome = [](const core::attempt_id&, const core::worker_id&) {
        return core::attempt_end::failed;
    };
    shard.submit(make_job("t", "a", "batch", one_core), seconds{1});
    shard.run_for(milliseconds{2500});
    std::set<core::worker_id> tried;
    for (const auto& record : shard.starts) {
        tried.insert(record.worker);
    }
    CHECK(tried.size() == 3);
}

TEST_CASE("a worker that refuses every start is quarantined") {
    virtual_shard shard;
    shard.add_pool(make_pool("batch"));
    shard.add_workers(2, 2, worker_size);
    auto& decisions = shard.decisions;
    std::size_t refused = 0;
    for (int job = 0; job < 200; ++job) {
        const auto spec = make_job("t", std::to_string(job), "batch", one_core);
        decisions.add_job(spec, shard.now, {0});
        for (const auto& placed : decisions.place(shard.now, 10)) {
            const core::attempt_id attempt{.job = placed.job, .task = placed.task, .attempt = 1};
            const bool refuses = placed.worker == broken;
            refused += refuses ? 1 : 0;
            decisions.task_ended(attempt, refuses ? core::attempt_end::refused : core::attempt_end::finished,
                                 milliseconds{0}, {}, shard.now);
            if (refuses) {
                decisions.requeue(placed.job, placed.task, shard.now);
            }
        }
    }
    CHECK(refused <= 3);
    CHECK(decisions.waiting_tasks() == 0);
}

TEST_CASE("a task that exceeds its size is throttled before any task is stopped") {
    full_worker worker([](core::job_spec&) {});
    const auto first = worker.shard.running.begin()->first;
    worker.shard.decisions.update_usage(first, {.millicores = 2000, .memory_mb = 2048}, seconds{1});
    worker.shard.finish(worker.shard.running.rbegin()->first, core::attempt_end::finished);
    CHECK(worker.shard.decisions.place(worker.shard.now, 10).empty());
    const auto preemptions = worker.preempt();
    REQUIRE(preemptions.size() == 1);
    CHECK(preemptions[0].kind == preemption_kind::throttle);
    CHECK(preemptions[0].attempt == first);
    CHECK(worker.preempt().empty());
    worker.shard.decisions.update_usage(first, {.millicores = 2000, .memory_mb = 2048}, seconds{2});
    CHECK(worker.shard.decisions.place(worker.shard.now, 10).size() == 1);
}

TEST_CASE("the task that loses the least work is checkpointed before it is stopped") {
    full_worker worker([](core::job_spec&) {});
    auto preemptions = worker.preempt();
    REQUIRE(preemptions.size() == 1);
    CHECK(preemptions[0].kind == preemption_kind::checkpoint_and_stop);
    CHECK(preemptions[0].attempt.job.key.value() == "3");
    CHECK(preemptions[0].for_job.key.value() == "now");
    CHECK(worker.preempt().empty());
    worker.shard.now += milliseconds{800};
    preemptions = worker.preempt();
    REQUIRE(preemptions.size() == 1);
    CHECK(preemptions[0].kind == preemption_kind::stop);
    CHECK(preemptions[0].attempt.job.key.value() == "3");
    worker.shard.finish(preemptions[0].attempt, core::attempt_end::stopped);
    const auto placed = worker.shard.decisions.place(worker.shard.now, 10);
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].job.key.value() == "now");
}

TEST_CASE("tasks that are not idempotent and pools that are not preemptible are not preempted") {
    full_worker payments([](core::job_spec& spec) {
        spec.idempotent = false;
        spec.max_attempts = 1;
    });
    CHECK(payments.preempt().empty());
    payments.shard.now += seconds{5};
    CHECK(payments.preempt().empty());
    full_worker not_preemptible([](core::job_spec&) {}, false);
    CHECK(not_preemptible.preempt().empty());
}

TEST_CASE("estimates follow observed run times and sizes within bounds") {
    estimate_cache estimates(2);
    const auto seen = estimates.find(core::team_id{"t"}, core::pool_id{"p"});
    for (int run = 0; run < 50; ++run) {
        seen->learn_time(seconds{10}, seconds{100});
        seen->learn_size({.millicores = 1000, .memory_mb = 100}, {.millicores = 100, .memory_mb = 90000});
    }
    CHECK(seen->run_time(seconds{20}, seconds{1}) > seconds{90});
    CHECK(seen->size({.millicores = 1000, .memory_mb = 100}).millicores == 1000);
    CHECK(seen->size({.millicores = 1000, .memory_mb = 100}).memory_mb == 1000);
    estimates.find(core::team_id{"u"}, core::pool_id{"p"});
    estimates.find(core::team_id{"v"}, core::pool_id{"p"});
    CHECK(estimates.count() == 2);
    CHECK(estimates.find(core::team_id{"t"}, core::pool_id{"p"})->time_samples == 0);
}
