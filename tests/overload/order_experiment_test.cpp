#include "overload/delay_cost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using core::milliseconds;

constexpr milliseconds tick{20};
constexpr int cores = 2000;
constexpr milliseconds traffic_time{40000};

/// A job of equal steps that run one after the other. All steps have `width` tasks of one core.
struct sim_job {
    milliseconds due{0};
    int steps = 1;
    int width = 1;
    milliseconds step_time{0};
    int complete_steps = 0;
    int waiting_tasks = 0;
    int running_tasks = 0;
    milliseconds ended{0};

    [[nodiscard]] double size() const {
        return std::chrono::duration<double>(this->step_time).count() * this->width * this->steps;
    }
    [[nodiscard]] overload::waiting_work work(milliseconds now) const {
        const auto done = this->size() * this->complete_steps / this->steps;
        return {.waited = now - this->due,
                .remaining = this->step_time * (this->steps - this->complete_steps),
                .latency_objective = this->step_time * this->steps * 3 / 2 + 300ms,
                .core_seconds = this->size() - done};
    }
    [[nodiscard]] milliseconds slack(milliseconds now) const {
        const auto known = this->work(now);
        return known.latency_objective - known.waited - known.remaining;
    }
};

using sort_key = std::pair<double, double>;
/// Returns the key of a job that waits; the lowest goes first, at equal keys the one that came first.
using order_rule = std::function<sort_key(const sim_job&, milliseconds now)>;

/// Returns the work that arrives, relative to what the cell can do.
using load_profile = std::function<double(milliseconds now)>;

double two_bursts(milliseconds now) {
    return (now >= 8s && now < 12s) || (now >= 22s && now < 28s) ? 1.8 : 0.7;
}

double always_too_much(milliseconds /*now*/) {
    return 1.3;
}

std::vector<sim_job> arrivals_of(std::uint64_t seed, const load_profile& load) {
    std::mt19937_64 random{seed};
    std::lognormal_distribution<double> width{2, 0.8};
    std::lognormal_distribution<double> seconds{-0.5, 0.5};
    std::uniform_int_distribution<int> steps{1, 3};
    std::vector<sim_job> jobs;
    double owed = 0;
    for (milliseconds now{0}; now < traffic_time; now += tick) {
        owed += load(now) * cores * std::chrono::duration<double>(tick).count();
        while (owed > 0) {
            sim_job job{.due = now,
                        .steps = steps(random),
                        .width = std::clamp(static_cast<int>(width(random)), 1, 100),
                        .step_time = milliseconds{static_cast<int>(1000 * seconds(random))}};
            job.waiting_tasks = job.width;
            owed -= job.size();
            jobs.push_back(job);
        }
    }
    return jobs;
}

struct running_task {
    milliseconds ends;
    std::size_t job;
};

void end_task(sim_job& job, milliseconds now) {
    job.running_tasks--;
    if (job.running_tasks > 0 || job.waiting_tasks > 0) {
        return;
    }
    if (++job.complete_steps == job.steps) {
        job.ended = now;
    } else {
        job.waiting_tasks = job.width;
    }
}

struct candidate {
    std::string name;
    order_rule rule;
    bool turns = false; ///< Whether late and overdue jobs get turns, as in dispatch::step_order.
};

/// Gives the oldest late and the oldest overdue job a turn after some starts of other jobs.
class turn_keeper {
public:
    [[nodiscard]] bool has_turn(overload::prospect prospect) const {
        return (prospect == overload::prospect::late && this->others[1] >= 2) ||
               (prospect == overload::prospect::overdue && this->others[2] >= 8);
    }
    void on_started(overload::prospect prospect) {
        for (auto& count : this->others) {
            count++;
        }
        this->others.at(static_cast<std::size_t>(prospect)) = 0;
    }

private:
    std::array<int, 3> others{};
};

overload::prospect prospect_of(const sim_job& job, milliseconds now) {
    return overload::prospect_after(job.work(now), 0ms);
}

std::vector<std::size_t> order_of(const std::vector<sim_job>& jobs, const candidate& order,
                                  const turn_keeper& turns, milliseconds now) {
    std::vector<std::pair<sort_key, std::size_t>> waiting;
    std::array<bool, 3> served{};
    for (std::size_t i = 0; i < jobs.size() && jobs[i].due <= now; i++) {
        if (jobs[i].waiting_tasks == 0) {
            continue;
        }
        const auto prospect = prospect_of(jobs[i], now);
        auto& taken = served.at(static_cast<std::size_t>(prospect));
        const bool turn = order.turns && turns.has_turn(prospect) && !taken;
        taken = taken || turn;
        waiting.emplace_back(turn ? sort_key{-1, 0} : order.rule(jobs[i], now), i);
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<std::size_t> found;
    found.reserve(waiting.size());
    for (const auto& [key, i] : waiting) {
        found.push_back(i);
    }
    return found;
}

void play(std::vector<sim_job>& jobs, const candidate& order) {
    std::vector<running_task> running;
    turn_keeper turns;
    int free = cores;
    for (milliseconds now{0}; now < 3 * traffic_time; now += tick) {
        std::erase_if(running, [&](const running_task& task) {
            if (task.ends > now) {
                return false;
            }
            free++;
            end_task(jobs[task.job], now);
            return true;
        });
        for (const auto i : order_of(jobs, order, turns, now)) {
            auto& job = jobs[i];
            const auto started = std::min(free, job.waiting_tasks);
            if (started == 0) {
                break;
            }
            turns.on_started(prospect_of(job, now));
            job.waiting_tasks -= started;
            job.running_tasks += started;
            free -= started;
            running.insert(running.end(), static_cast<std::size_t>(started), {now + job.step_time, i});
        }
    }
}

struct result {
    double on_time = 0;        ///< Share of the jobs.
    double served = 0;         ///< Share of the jobs that end while they are of use.
    double largest_served = 0; ///< The same of the largest tenth.
    double lost = 0;           ///< What the callers lose, per job.
    milliseconds longest{0};   ///< The longest time that a job took.
};

result measure(std::vector<sim_job> jobs) {
    std::sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) { return a.size() > b.size(); });
    result found;
    const auto share = 1 / static_cast<double>(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); i++) {
        const auto time = (jobs[i].ended > 0ms ? jobs[i].ended : 3 * traffic_time) - jobs[i].due;
        const overload::waiting_work ended{.waited = time,
                                           .latency_objective = jobs[i].work(0ms).latency_objective};
        const auto prospect = overload::prospect_after(ended, 0ms);
        const bool served = prospect != overload::prospect::overdue;
        found.on_time += prospect == overload::prospect::on_time ? share : 0;
        found.served += served ? share : 0;
        found.largest_served += served && i < jobs.size() / 10 ? 10 * share : 0;
        found.lost += share * overload::loss_of(ended, 0ms).if_started_now;
        found.longest = std::max(found.longest, time);
    }
    return found;
}

double number_of(milliseconds time) {
    return static_cast<double>(time.count());
}

/// The order of dispatch::step_order within a priority.
const candidate chosen{
    .name = "value a core-second among those on time, with turns",
    .rule =
        [](const sim_job& job, milliseconds now) {
            const auto work = job.work(now);
            const auto longest = work.latency_objective * overload::late_factor;
            return sort_key{static_cast<double>(prospect_of(job, now)), -overload::urgency_of(work, longest)};
        },
    .turns = true};

const candidate most_value{.name = "most value a core-second",
                           .rule = [](const sim_job& job, milliseconds now) {
                               return sort_key{job.work(now).core_seconds, 0};
                           }};

std::vector<candidate> others() {
    return {{.name = "first come", .rule = [](const sim_job&, milliseconds) { return sort_key{}; }},
            {.name = "earliest deadline",
             .rule =
                 [](const sim_job& job, milliseconds now) {
                     return sort_key{number_of(job.due + job.work(now).latency_objective), 0};
                 }},
            {.name = "least slack",
             .rule =
                 [](const sim_job& job, milliseconds now) {
                     const auto work = job.work(now);
                     return sort_key{number_of(work.latency_objective - work.waited - work.remaining), 0};
                 }},
            {.name = "first come among those on time, with turns",
             .rule =
                 [](const sim_job& job, milliseconds now) {
                     return sort_key{static_cast<double>(prospect_of(job, now)), 0};
                 },
             .turns = true}};
}

result play_and_measure(const candidate& order, const load_profile& load) {
    auto jobs = arrivals_of(1, load);
    play(jobs, order);
    const auto found = measure(jobs);
    UNSCOPED_INFO(order.name << ": on time " << found.on_time << ", served " << found.served
                             << ", of the largest tenth " << found.largest_served << ", lost " << found.lost
                             << ", longest " << found.longest.count() << " ms");
    return found;
}

void check_chosen_order(const load_profile& load) {
    const auto found = play_and_measure(chosen, load);
    for (const auto& other : others()) {
        CHECK(found.lost <= play_and_measure(other, load).lost);
    }
    // Without turns, callers lose less in all, but the largest jobs wait until the load has ended.
    CHECK(found.longest <= play_and_measure(most_value, load).longest);
    CHECK(found.largest_served >= found.served / 2);
}

} // namespace

TEST_CASE("large and small jobs in two bursts over a full cell: the order loses callers least") {
    check_chosen_order(two_bursts);
}

TEST_CASE("a backlog that cannot be worked off: the order loses callers least") {
    check_chosen_order(always_too_much);
}

} // namespace rattanmount::tests
