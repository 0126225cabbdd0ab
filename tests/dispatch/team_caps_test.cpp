#include "core/errors.h"
#include "dispatch/cap_check.h"
#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

const workflow::queue_policy any_queue{
    .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};

workflow::job_request job_of(const std::string& key, std::uint32_t tasks, core::milliseconds work) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
    step.estimate = work;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

tenancy::team_policy team_with(const std::string& name, std::int64_t cores, double rate = 0) {
    return {.team = core::team_id{name},
            .weight = 1,
            .jobs_per_second = rate,
            .cap = {.millicores = cores * 1000, .memory_mb = 0, .accelerators = 0}};
}

/// Random teams, jobs with gangs and dependent steps, cap changes, takeovers and faults.
void run_capped_schedule(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 20;
    simulated_cell cell{
        {.seed = seed, .workers = workers, .failing_share = 0.03, .lost_share = 0.01, .late_share = 0.02}};
    const auto draw = [&](int most) { return std::uniform_int_distribution<int>{0, most}(cell.random()); };
    const auto teams = [&] {
        return std::vector{team_with("a", 4 + draw(12), 1), team_with("b", 4 + draw(40)), team_with("c", 0)};
    };
    cell.set_teams(teams());
    for (std::uint32_t i = 0; i < jobs; i++) {
        auto request = job_of("job" + std::to_string(i), 1 + static_cast<std::uint32_t>(draw(9)),
                              core::milliseconds{100 + draw(2000)});
        request.steps.push_back(request.steps.front());
        request.steps.front().gang = draw(4) == 0;
        request.steps.front().tasks = std::min(request.steps.front().tasks, 4U);
        request.steps.back().after =
            draw(1) == 0 ? std::vector<std::uint32_t>{0} : std::vector<std::uint32_t>{};
        cell.submit(request, any_queue, core::team_id{std::string(1, static_cast<char>('a' + draw(2)))});
        cell.run_for(core::milliseconds{draw(800)});
        const auto worker = static_cast<std::uint32_t>(draw(workers - 1));
        switch (draw(9)) {
        case 0:
            cell.change_leader();
            break;
        case 1:
            cell.set_teams(teams());
            break;
        case 2:
            cell.restart_worker(worker);
            break;
        case 3:
            cell.set_disconnected(worker, true);
            break;
        case 4:
            cell.set_disconnected(worker, false);
            break;
        case 5:
            cell.cancel(request.key);
            break;
        default:
            break;
        }
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_disconnected(i, false);
    }
    cell.run_for(90s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

TEST_CASE("no team ever runs more than its cap under random faults") {
    std::uint64_t first = 1;
    std::uint64_t count = 200;
    if (const char* seeds = std::getenv("RATTANMOUNT_SEEDS")) {
        char* rest = nullptr;
        first = std::strtoull(seeds, &rest, 10);
        count = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
    }
    for (auto seed = first; seed < first + count; seed++) {
        run_capped_schedule(seed);
    }
}

TEST_CASE("a task or gang larger than its team's cap is refused with the resource, a wide step is not") {
    auto request = job_of("job", 8, 1s);
    CHECK_NOTHROW(dispatch::check_fits_cap(request, team_with("a", 1)));
    CHECK_NOTHROW(dispatch::check_fits_cap(request, team_with("a", 0)));
    request.steps.front().gang = true;
    CHECK_NOTHROW(dispatch::check_fits_cap(request, team_with("a", 8)));
    CHECK_THROWS_WITH(dispatch::check_fits_cap(request, team_with("a", 7)),
                      Catch::Contains("needs more processors"));
    request.steps.front().gang = false;
    request.steps.front().each.accelerators = 2;
    auto team = team_with("a", 7);
    team.cap.accelerators = 1;
    CHECK_THROWS_AS(dispatch::check_fits_cap(request, team), core::invalid_argument);
}

TEST_CASE("a step that is wider than its team's cap runs in waves, also across a takeover") {
    simulated_cell cell{{.workers = 4}};
    cell.set_teams({team_with("a", 5)});
    cell.run_for(1s);
    cell.submit(job_of("wide", 20, 500ms), any_queue, core::team_id{"a"});
    cell.run_for(200ms);
    CHECK(cell.running_of("wide") == 5);
    cell.change_leader();
    cell.run_for(4s);
    CHECK(cell.phase_of("wide") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("when a cap falls below what runs, nothing starts until it fits") {
    simulated_cell cell{{.workers = 4}};
    cell.set_teams({team_with("a", 10)});
    cell.run_for(1s);
    cell.submit(job_of("first", 10, 2s), any_queue, core::team_id{"a"});
    cell.run_for(500ms);
    cell.set_teams({team_with("a", 3)});
    cell.submit(job_of("second", 6, 500ms), any_queue, core::team_id{"a"});
    cell.run_for(1s);
    CHECK(cell.running_of("first") == 10);
    CHECK(cell.running_of("second") == 0);
    cell.run_for(800ms);
    CHECK(cell.running_of("second") == 3);
}

namespace {

/// @param ticks_per_other_job how rarely one more team sends a job; the cell has no room for one every 2
/// ticks.
/// @return the 95th percentile of the times that the jobs of 19 teams take.
core::milliseconds p95_beside(int ticks_per_other_job) {
    constexpr int ticks = 1000;
    constexpr core::milliseconds tick_length{10};
    constexpr int all_teams = 20;
    simulated_cell cell{{.workers = 18}};
    std::vector<tenancy::team_policy> teams;
    teams.reserve(all_teams);
    for (int i = 0; i < all_teams; i++) {
        teams.push_back(team_with("t" + std::to_string(i), 0, 5));
    }
    cell.set_teams(teams);
    cell.run_for(1s);
    std::vector<std::string> keys;
    for (int tick = 0; tick < ticks; tick++) {
        const auto number = std::to_string(tick);
        const int turn = tick % all_teams;
        if (turn > 0) {
            keys.push_back("job" + number);
            cell.submit(job_of(keys.back(), 4, 500ms), any_queue, teams[static_cast<std::size_t>(turn)].team);
        }
        if (tick % ticks_per_other_job == 0) {
            cell.submit(job_of("other" + number, 4, 500ms), any_queue, teams.front().team);
        }
        if (tick == ticks / 2) {
            cell.change_leader();
        }
        cell.run_for(tick_length);
    }
    cell.run_for(60s);
    CHECK(cell.over_jobs() == keys.size() + static_cast<std::size_t>(ticks / ticks_per_other_job));
    std::vector<core::milliseconds> times;
    times.reserve(keys.size());
    for (const auto& key : keys) {
        times.push_back(cell.time_taken(key));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() * 95 / 100];
}

} // namespace

TEST_CASE("a team at ten times its rate costs the other teams less than a tenth of their time") {
    const auto usual = p95_beside(20);
    const auto flooded = p95_beside(2);
    CAPTURE(usual.count(), flooded.count());
    CHECK(flooded * 10 <= usual * 11);
}

} // namespace rattanmount::tests
