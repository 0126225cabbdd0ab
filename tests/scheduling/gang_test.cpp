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

core::job_spec gang(const std::string& key, std::uint32_t tasks, std::int64_t millicores) {
    auto spec = make_job("g", key, "gang", {.millicores = millicores, .memory_mb = 1024});
    spec.kind = core::work_kind::gang;
    spec.tasks = tasks;
    spec.expected_run_time = seconds{10};
    return spec;
}

core::job_spec batch(int serial, std::int64_t millicores, milliseconds expected) {
    auto spec = make_job("b", std::to_string(serial), "batch", {.millicores = millicores, .memory_mb = 1024});
    spec.expected_run_time = expected;
    return spec;
}

std::size_t running_of(const virtual_shard& shard, const core::job_id& job) {
    return static_cast<std::size_t>(std::count_if(shard.running.begin(), shard.running.end(),
                                                  [&](const auto& task) { return task.first.job == job; }));
}

} // namespace

TEST_CASE("a gang starts all its tasks together or none") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("gang"));
    shard.add_workers(4, 2, worker_size);
    shard.submit(gang("three", 3, 16000), seconds{10});
    shard.step();
    CHECK(shard.running.size() == 3);
    shard.submit(gang("two", 2, 16000), seconds{10});
    shard.step();
    CHECK(shard.running.size() == 3);
    CHECK(shard.decisions.free().millicores == 16000);
    CHECK_THAT(shard.decisions.explain(gang("two", 2, 16000).id, shard.now).front(),
               Catch::Contains("gang of 2 tasks") && Catch::Contains("1 fit now"));
    shard.run_for(seconds{11});
    CHECK(running_of(shard, gang("two", 2, 16000).id) == 2);
}

TEST_CASE("one place() call returns all tasks of a gang even beyond the requested number") {
    virtual_shard shard;
    shard.add_pool(make_pool("gang"));
    shard.add_workers(40, 8, worker_size);
    const auto spec = gang("wide", 300, 1000);
    std::vector<std::uint32_t> tasks;
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        tasks.push_back(task);
    }
    shard.decisions.add_job(spec, shard.now, tasks);
    CHECK(shard.decisions.place(shard.now, 1).size() == 300);
}

TEST_CASE("backfill does not delay a gang beyond its reserved start time") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("gang", 2));
    shard.add_pool(make_pool("batch", 1));
    shard.add_workers(4, 2, worker_size);
    shard.submit(batch(1, 16000, seconds{20}), seconds{20});
    shard.submit(batch(2, 16000, seconds{30}), seconds{30});
    shard.step();
    const auto begin = shard.now;
    const auto wanted = gang("all", 4, 16000);
    shard.submit(wanted, seconds{10});
    for (int job = 10; job < 400; ++job) {
        const auto time = seconds{job % 2 == 0 ? 5 : 45};
        shard.submit(batch(job, 4000, time), time, begin + milliseconds{100 * job});
    }
    shard.run_for(seconds{31});
    REQUIRE(running_of(shard, wanted.id) == 4);
    const auto start = std::find_if(shard.starts.begin(), shard.starts.end(),
                                    [&](const auto& record) { return record.job == wanted.id; });
    CHECK(start->at - begin <= seconds{30});
    std::size_t backfilled_jobs = 0;
    for (const auto& record : shard.starts) {
        const bool backfilled = record.pool.value() == "batch" && record.at > begin && record.at < start->at;
        backfilled_jobs += backfilled ? 1 : 0;
        CHECK_FALSE((backfilled && std::stoi(record.job.key.value()) % 2 == 1));
    }
    CHECK(backfilled_jobs > 20);
}

TEST_CASE("a gang of low priority is not starved by a stream of small jobs of higher priority") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("gang", 1));
    shard.add_pool(make_pool("batch", 3));
    shard.add_workers(4, 2, worker_size);
    const auto begin = shard.now;
    for (int job = 0; job < 3000; ++job) {
        shard.submit(batch(job, 4000, seconds{5}), seconds{5}, begin + milliseconds{200 * job});
    }
    const auto wanted = gang("all", 4, 16000);
    shard.submit(wanted, seconds{5}, begin + seconds{2});
    shard.run_for(minutes{5});
    CHECK(shard.finished[wanted.id] == 4);
    CHECK(shard.exceeded == 0);
}

TEST_CASE("a large task that has aged gets a reservation among small tasks") {
    virtual_shard shard({.urgent_reserve = 0.0});
    shard.add_pool(make_pool("batch", 3));
    shard.add_workers(2, 2, worker_size);
    const auto begin = shard.now;
    for (int job = 0; job < 6000; ++job) {
        shard.submit(batch(job, 2000, seconds{5}), seconds{5}, begin + milliseconds{100 * job});
    }
    auto large = make_job("large", "one", "batch", worker_size);
    shard.submit(large, seconds{5}, begin + seconds{10});
    shard.run_for(minutes{4});
    CHECK(shard.finished[large.id] == 1);
}
