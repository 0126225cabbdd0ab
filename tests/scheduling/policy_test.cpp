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

release::pool_policy urgent_pool(const std::string& name) {
    auto pool = make_pool(name, 10);
    pool.urgent = true;
    return pool;
}

/// Returns the sorted waits of urgent previews next to print batches, some of which run 50 times as long.
std::vector<milliseconds> preview_waits(double stragglers) {
    virtual_shard shard;
    shard.add_pool(urgent_pool("preview"));
    auto print = make_pool("print", 1);
    print.preemptible = true;
    shard.add_pool(print);
    shard.preempts = true;
    shard.add_workers(8, 4, worker_size);
    std::mt19937 random(7);
    const auto begin = shard.now;
    for (int job = 0; job < 2000; ++job) {
        auto spec =
            make_job("school", "p" + std::to_string(job), "print", {.millicores = 2000, .memory_mb = 4096});
        spec.expected_run_time = seconds{4};
        const bool straggler = static_cast<double>(random() % 1000) < stragglers * 1000.0;
        shard.submit(spec, seconds{4} * (straggler ? 50 : 1), begin + milliseconds{60 * job});
    }
    for (int job = 0; job < 3000; ++job) {
        const milliseconds run_time{400 + random() % 400};
        const auto at = begin + milliseconds{40} * job + milliseconds{random() % 40};
        shard.submit(make_job("vendor", "v" + std::to_string(job), "preview", one_core), run_time, at);
    }
    shard.run_for(minutes{2});
    CHECK(shard.exceeded == 0);
    CHECK(shard.waits("preview").size() > 2900);
    return shard.waits("preview");
}

} // namespace

TEST_CASE("urgent tasks start within the p99 limit at the peak of a load swing on a full shard") {
    virtual_shard shard;
    shard.add_pool(urgent_pool("claim"));
    auto batch = make_pool("batch", 1);
    batch.preemptible = true;
    shard.add_pool(batch);
    shard.preempts = true;
    shard.add_workers(24, 8, worker_size);
    const auto begin = shard.now;
    for (int job = 0; job < 600; ++job) {
        auto spec = make_job("coop" + std::to_string(job % 4), "b" + std::to_string(job), "batch", one_core);
        spec.expected_run_time = minutes{10};
        shard.submit(spec, minutes{10}, begin);
    }
    auto at = begin + seconds{1};
    for (int claim = 0; claim < 1600; ++claim) {
        const bool peak = at >= begin + seconds{5};
        at += peak ? std::chrono::microseconds{6250} : std::chrono::microseconds{62500};
        shard.submit(make_job("farm", "c" + std::to_string(claim), "claim", one_core), milliseconds{700}, at);
    }
    shard.run_for(seconds{30});
    const auto waits = shard.waits("claim");
    CHECK(waits.size() == 1600);
    CHECK(percentile(waits, 0.99) < milliseconds{2600});
    CHECK(shard.exceeded == 0);
}

TEST_CASE("stragglers among batch tasks do not delay urgent tasks") {
    const auto without = percentile(preview_waits(0.0), 0.99);
    const auto with = percentile(preview_waits(0.02), 0.99);
    INFO("p99 without " << without.count() << " ms, with " << with.count() << " ms");
    CHECK(with <= std::max(milliseconds{1}, 2 * without));
}

TEST_CASE("work that is not urgent cannot use the urgent reserve") {
    virtual_shard shard({.urgent_reserve = 0.1});
    shard.add_pool(urgent_pool("urgent"));
    shard.add_pool(make_pool("batch"));
    shard.add_workers(10, 5, worker_size);
    for (int job = 0; job < 200; ++job) {
        shard.submit(make_job("t", std::to_string(job), "batch", one_core), minutes{10});
    }
    shard.step();
    CHECK(shard.running.size() == 144);
    shard.submit(make_job("t", "now", "urgent", worker_size), seconds{1});
    shard.step();
    CHECK(shard.running.size() == 145);
}

TEST_CASE("a pool uses at most its max_share of the shard") {
    virtual_shard shard;
    auto bounded = make_pool("syncs", 5);
    bounded.max_share = 0.25;
    shard.add_pool(bounded);
    shard.add_workers(4, 2, worker_size);
    for (int job = 0; job < 100; ++job) {
        shard.submit(make_job("t", std::to_string(job), "syncs", one_core), minutes{10});
    }
    shard.step();
    CHECK(shard.running.size() == 16);
    CHECK_THAT(shard.decisions.explain(make_job("t", "99", "syncs", one_core).id, shard.now).front(),
               Catch::Contains(
                   "max_share of pool syncs would be exceeded: 25.0% allocated + 1.6% requested > 25.0%"));
}

TEST_CASE("a quota counts allocations on this shard and on other shards") {
    virtual_shard shard(
        {.remote_usage = [](const core::team_id&) { return core::resources{.millicores = 3000}; }});
    shard.add_pool(make_pool("batch"));
    shard.add_team({.name = core::team_id{"t"}, .quota = {.millicores = 8000}});
    shard.add_workers(2, 1, worker_size);
    for (int job = 0; job < 20; ++job) {
        shard.submit(make_job("t", std::to_string(job), "batch", one_core), seconds{1 + job});
    }
    shard.step();
    CHECK(shard.running.size() == 5);
    CHECK_THAT(
        shard.decisions.explain(make_job("t", "9", "batch", one_core).id, shard.now).front(),
        Catch::Contains(
            "quota of team t would be exceeded: processors 5000m allocated here + 3000m on other shards + "
            "1000m requested > 8000m"));
    shard.run_for(minutes{3});
    CHECK(shard.finished.size() == 20);
}

TEST_CASE("teams get equal dominant shares relative to their weights") {
    virtual_shard shard;
    shard.add_pool(make_pool("batch"));
    shard.add_team({.name = core::team_id{"heavy"}, .weight = 3});
    shard.add_workers(10, 5, worker_size);
    for (int job = 0; job < 400; ++job) {
        shard.submit(make_job("heavy", std::to_string(job), "batch", one_core), minutes{5});
        shard.submit(make_job("light", std::to_string(job), "batch", {.millicores = 500, .memory_mb = 4096}),
                     minutes{5}, shard.now + milliseconds{1});
    }
    shard.now += milliseconds{1};
    shard.step();
    const auto heavy =
        shard.decisions.team_allocation(core::team_id{"heavy"}).dominant_share(worker_size * 10);
    const auto light =
        shard.decisions.team_allocation(core::team_id{"light"}).dominant_share(worker_size * 10);
    CHECK(heavy / light == Approx(3.0).epsilon(0.1));
}

TEST_CASE("a team with few jobs does not wait behind the backlog of another team") {
    virtual_shard shard;
    shard.add_pool(make_pool("batch"));
    shard.add_workers(2, 1, worker_size);
    for (int job = 0; job < 3000; ++job) {
        shard.submit(make_job("flood", std::to_string(job), "batch", one_core), seconds{20});
    }
    shard.run_for(minutes{10});
    shard.submit(make_job("small", "one", "batch", one_core), seconds{1});
    shard.run_for(seconds{25});
    CHECK(shard.finished.contains(make_job("small", "one", "batch", one_core).id));
}

TEST_CASE("higher priority goes first until a lower one has aged") {
    virtual_shard shard;
    shard.add_pool(make_pool("high", 5));
    shard.add_pool(make_pool("low", 1));
    shard.add_workers(1, 1, {.millicores = 1000, .memory_mb = 4096});
    shard.submit(make_job("t", "low", "low", one_core), seconds{10});
    const auto begin = shard.now;
    for (int job = 0; job < 60; ++job) {
        shard.submit(make_job("t", std::to_string(job), "high", one_core), seconds{10},
                     begin + seconds{10 * job});
    }
    shard.run_for(seconds{200});
    CHECK(shard.starts.front().job.key.value() == "0");
    CHECK(shard.waits("low").empty());
    shard.run_for(seconds{200});
    REQUIRE(shard.waits("low").size() == 1);
    CHECK(shard.waits("low").front() > seconds{200});
}

TEST_CASE("best fit keeps whole workers and accelerators free for tasks that need them") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("batch"));
    shard.add_workers(1, 1, {.millicores = 16000, .memory_mb = 65536, .accelerators = 4});
    shard.add_workers(3, 1, worker_size);
    for (int job = 0; job < 24; ++job) {
        shard.submit(make_job("t", std::to_string(job), "batch", one_core), minutes{1});
    }
    shard.step();
    CHECK(shard.in_use[core::worker_id{"w0"}] == core::resources{});
    shard.submit(make_job("t", "whole", "batch", worker_size), minutes{1});
    shard.submit(make_job("t", "acc", "batch", {.millicores = 16000, .memory_mb = 1, .accelerators = 4}),
                 minutes{1});
    shard.step();
    CHECK(shard.running.size() == 26);
}

TEST_CASE("services and pools with spread are spread over racks") {
    const bool pool_spreads = GENERATE(true, false);
    virtual_shard shard;
    auto pool = make_pool("web");
    pool.spread = pool_spreads;
    shard.add_pool(pool);
    shard.add_workers(12, 4, worker_size);
    auto spec = make_job("t", "site", "web", one_core);
    spec.kind = pool_spreads ? core::work_kind::batch : core::work_kind::service;
    spec.tasks = 6;
    shard.submit(spec, minutes{10});
    shard.step();
    std::map<int, int> racks;
    for (const auto& record : shard.starts) {
        ++racks[std::stoi(record.worker.value().substr(1)) / 4];
    }
    CHECK(racks == std::map<int, int>{{0, 2}, {1, 2}, {2, 2}});
}

TEST_CASE("urgent work goes first regardless of priority and waiting time") {
    virtual_shard shard;
    auto urgent = make_pool("urgent", 0);
    urgent.urgent = true;
    shard.add_pool(urgent);
    shard.add_pool(make_pool("batch", 100));
    shard.add_workers(1, 1, {.millicores = 1000, .memory_mb = 4096});
    for (int job = 0; job < 20; ++job) {
        shard.submit(make_job("t", std::to_string(job), "batch", one_core), seconds{10});
    }
    shard.run_for(seconds{95});
    shard.submit(make_job("t", "now", "urgent", one_core), seconds{1});
    shard.run_for(seconds{6});
    CHECK(shard.waits("urgent").size() == 1);
}

TEST_CASE("jobs of an unknown pool do not start and explain names the pool") {
    virtual_shard shard;
    shard.add_workers(1, 1, worker_size);
    shard.submit(make_job("t", "a", "gone", one_core), seconds{1});
    shard.step();
    CHECK(shard.running.empty());
    CHECK_THAT(shard.decisions.explain(make_job("t", "a", "gone", one_core).id, shard.now).front(),
               Catch::Contains("no policy is known for pool gone"));
}

TEST_CASE(
    "explain names the insufficient resource, the position, the earliest start and the placement reason") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("batch"));
    shard.add_workers(2, 1, worker_size);
    auto running = make_job("t", "first", "batch", {.millicores = 12000, .memory_mb = 1024});
    running.expected_run_time = seconds{30};
    running.tasks = 2;
    shard.submit(running, seconds{30});
    shard.step();
    shard.submit(make_job("t", "second", "batch", {.millicores = 6000, .memory_mb = 1024}), seconds{1});
    shard.submit(make_job("t", "third", "batch", {.millicores = 6000, .memory_mb = 1024}), seconds{1});
    shard.run_for(seconds{10});
    const auto waiting = shard.decisions.explain(make_job("t", "third", "batch", one_core).id, shard.now);
    REQUIRE(waiting.size() == 3);
    CHECK_THAT(waiting[0], Catch::Contains("1 of 1 tasks waiting for 10.0 s") &&
                               Catch::Contains("6000m 1024MB 0acc requested") && Catch::Contains("4000m") &&
                               Catch::Contains("insufficient processors"));
    CHECK_THAT(waiting[1], Catch::Contains("position 2 of 2 jobs of team t in pool batch"));
    CHECK_THAT(waiting[2], Catch::Contains("earliest start: in 20.0 s"));
    const auto placed = shard.decisions.explain(running.id, shard.now);
    REQUIRE(placed.size() == 2);
    CHECK_THAT(placed[0], Catch::Contains("task 0 running on worker w0 for 10.0 s") &&
                              Catch::Contains("2 workers with enough free capacity") &&
                              Catch::Contains("4000m") && Catch::Contains("estimated to end in 20.0 s"));
}

TEST_CASE("jobs that have not started and fit on no worker may be moved to another shard") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("batch"));
    shard.add_team({.name = core::team_id{"poor"}, .quota = {.millicores = 1}});
    shard.add_workers(1, 1, worker_size);
    shard.submit(make_job("t", "runs", "batch", worker_size), minutes{5});
    shard.submit(make_job("poor", "quota", "batch", one_core), minutes{5});
    shard.step();
    shard.submit(make_job("t", "waits", "batch", one_core), minutes{5});
    shard.run_for(seconds{5});
    CHECK(shard.decisions.movable_jobs(shard.now, seconds{6}, 10).empty());
    shard.run_for(seconds{5});
    CHECK(shard.decisions.movable_jobs(shard.now, seconds{6}, 10) ==
          std::vector<core::job_id>{make_job("t", "waits", "batch", one_core).id});
}
