#include "bench/support/row.h"
#include "bench/support/wire_cost.h"
#include "settings/host_settings.h"
#include "tests/control/simulated_cell.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

/// @file
/// Simulates the control threads of seven entry hosts in virtual time and prints what the busiest host
/// spends: processor time, memory, calls and bytes. Then kills that host and prints the time until one of its
/// shards starts a task again. Size 1 is the users' cell; --sizes also runs 0.25, 0.5 and 2. Exits with 1 if
/// an exact bound is missed.

using namespace rattanmount;
using namespace std::chrono_literals;
using tests::simulated_cell;

namespace {

constexpr int hosts = 7;
constexpr std::uint32_t shards = 24;
constexpr int workers_per_rack = 8;
constexpr int racks_at_full_size = 100;
constexpr int teams_at_full_size = 160;
constexpr int tasks_per_job = 10;
constexpr int service_jobs_at_full_size = 98;
constexpr int starts_per_second_at_full_size = 160;
constexpr core::milliseconds mean_run_time{24'500};
constexpr core::milliseconds service_run_time = 24h;
constexpr std::size_t payload_bytes = 64;
constexpr core::milliseconds settle_time = 45s;
constexpr core::milliseconds measurement_window = 30s;

constexpr double processor_bound_percent = 4.9;
constexpr double memory_bound_mb = 64.0;
constexpr double traffic_bound_kb = 30.0;
constexpr double appends_bound = 200.0;

/// The kinds of calls whose traffic is counted for a host.
enum class traffic_category : std::uint8_t { leases, starts, appends, reads, heartbeats, fleet, count };

constexpr std::array<const char*, static_cast<std::size_t>(traffic_category::count)> category_names{
    "lease renewals", "starts", "appends", "reads", "heartbeats", "fleet polls"};

struct traffic_total {
    std::uint64_t calls = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

struct host_total {
    std::array<traffic_total, static_cast<std::size_t>(traffic_category::count)> by_category;
    std::chrono::nanoseconds processor{0};

    void add(traffic_category category, const bench::call_bytes& bytes) {
        auto& total = this->by_category[static_cast<std::size_t>(category)];
        ++total.calls;
        total.sent += bytes.sent;
        total.received += bytes.received;
    }

    [[nodiscard]] std::uint64_t bytes() const {
        std::uint64_t sum = 0;
        for (const auto& each : this->by_category) {
            sum += each.sent + each.received;
        }
        return sum;
    }
};

std::chrono::nanoseconds thread_time() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
}

/// Applies the default settings of a host.
void use_default_settings(control::host_control_options& options) {
    const settings::host_settings defaults;
    const auto& log = defaults.platform.log;
    const auto& workers = defaults.platform.workers;
    const core::milliseconds spacing{1000 * shards / log.appends_per_second};
    options.suspect_after = defaults.membership.suspect_after;
    options.heartbeat_interval = defaults.membership.heartbeat_interval;
    options.fleet_interval = defaults.platform.fleet.interval;
    options.startup_wait = defaults.membership.startup_wait;
    options.snapshot_interval = log.retention / 4;
    options.config_session.append_spacing = spacing;
    options.config_session.read_interval = log.config_read_interval;
    options.controller.session.append_spacing = spacing;
    options.controller.session.read_interval = log.shard_read_interval;
    options.controller.runner.lease = {.term = workers.lease_term,
                                       .renew_interval = workers.renew_interval,
                                       .task_hold = workers.task_hold,
                                       .timeout = workers.timeout,
                                       .clock_drift = workers.clock_drift};
    options.controller.move_after = defaults.jobs.move_after;
    options.controller.snapshot_interval = log.retention / 4;
}

std::vector<cell::region_layout> regions() {
    const auto centre = [](const char* name) { return core::data_centre_id{name}; };
    return {{.name = core::region_id{"fiji"},
             .data_centres = {centre("suva-1"), centre("suva-2"), centre("suva-3")}},
            {.name = core::region_id{"brittany"},
             .data_centres = {centre("rennes"), centre("brest"), centre("vannes")}}};
}

/// A simulated cell of seven entry hosts under the users' load, scaled by a factor.
class loaded_cell {
public:
    loaded_cell(double size, const bench::wire_cost& costs)
        : size(size), costs(costs), cell({.hosts = hosts,
                                          .shards = shards,
                                          .racks = this->scaled(racks_at_full_size),
                                          .workers_per_rack = workers_per_rack,
                                          .regions = regions(),
                                          .worker_capacity = {.millicores = 32'000, .memory_mb = 131'072},
                                          .task_hold = 10s,
                                          .adjust = use_default_settings,
                                          .observer = this->observer()}) {
        this->cell.run_for(10s);
        this->add_policies();
        for (int job = 0; job < this->scaled(service_jobs_at_full_size); ++job) {
            this->submit_job(core::work_kind::service);
            this->cell.run_for(20ms);
        }
    }

    /// Submits batch jobs at the users' peak rate.
    void run_load(core::milliseconds span) {
        const core::milliseconds interval{1000 * tasks_per_job /
                                          this->scaled(starts_per_second_at_full_size)};
        const auto end = this->cell.now() + span;
        while (this->cell.now() < end) {
            this->submit_job(core::work_kind::batch);
            this->cell.run_for(interval);
        }
    }

    /// Resets the totals and counts one window of load, which includes one release note.
    void measure() {
        this->totals = {};
        this->append_times.clear();
        this->cell.propose(0, this->change_note(), [](const core::note_answer&) {});
        this->run_load(measurement_window);
    }

    [[nodiscard]] int busiest() const {
        const auto found = std::ranges::max_element(this->totals, {}, &host_total::bytes);
        return static_cast<int>(found - this->totals.begin());
    }

    [[nodiscard]] const host_total& total(int host) const {
        return this->totals[static_cast<std::size_t>(host)];
    }

    /// Returns the mean rate of appends over all hosts in the window.
    [[nodiscard]] double appends_per_second() const {
        return static_cast<double>(this->append_times.size()) /
               std::chrono::duration<double>(measurement_window).count();
    }

    /// Returns the maximum number of appends of all hosts within any one second of the window.
    [[nodiscard]] std::size_t max_appends_per_second() const {
        std::size_t highest = 0;
        std::size_t oldest = 0;
        for (std::size_t index = 0; index < this->append_times.size(); ++index) {
            while (this->append_times[index] - this->append_times[oldest] >= 1s) {
                ++oldest;
            }
            highest = std::max(highest, index - oldest + 1);
        }
        return highest;
    }

    [[nodiscard]] std::size_t starts() const { return this->total_calls(traffic_category::starts); }
    [[nodiscard]] std::size_t owned_shards(int host) { return this->cell.host(host)->owned_shards(); }

    /// Kills a host.
    /// @return the heap that its control state occupied, in bytes.
    std::size_t kill(int host) {
        this->lost_shards = this->shards_of[host];
        this->killed_at = this->cell.now();
        this->first_start_after_kill.reset();
        const auto before = mallinfo2().uordblks;
        this->cell.kill(host);
        return before - mallinfo2().uordblks;
    }

    /// Runs load until a shard of the killed host starts a task, for at most 30 s.
    /// @return the time from the kill to that start in seconds, or 1e9 if there was none.
    double run_until_takeover() {
        for (int second = 0; second < 30 && !this->first_start_after_kill; ++second) {
            this->run_load(1s);
        }
        return this->first_start_after_kill
                   ? std::chrono::duration<double>(*this->first_start_after_kill - this->killed_at).count()
                   : 1e9;
    }

    std::size_t breaches() { return this->cell.violations().size(); }

private:
    [[nodiscard]] int scaled(int full_size) const {
        return std::max(1, static_cast<int>(static_cast<double>(full_size) * this->size));
    }

    [[nodiscard]] std::size_t total_calls(traffic_category category) const {
        std::size_t sum = 0;
        for (const auto& host : this->totals) {
            sum += host.by_category[static_cast<std::size_t>(category)].calls;
        }
        return sum;
    }

    void count_traffic(int host, traffic_category category, const bench::call_bytes& bytes) {
        this->totals[static_cast<std::size_t>(host)].add(category, bytes);
    }

    tests::simulated_observer observer() {
        tests::simulated_observer callbacks;
        callbacks.control_boundary_crossed = [this](int host, bool enters) {
            const auto now = thread_time();
            if (!enters) {
                this->totals[static_cast<std::size_t>(host)].processor += now - this->control_entered_at;
            }
            this->control_entered_at = now;
        };
        callbacks.leased = [this](int host, const auto& order, const auto& reply) {
            this->count_traffic(host, traffic_category::leases, this->costs.lease(order, reply));
        };
        callbacks.started = [this](int host, const control::start_order& order) {
            this->count_traffic(host, traffic_category::starts, this->costs.start(order));
            this->shards_of[host].insert(order.shard);
            if (!this->first_start_after_kill && this->lost_shards.contains(order.shard)) {
                this->first_start_after_kill = this->cell.now();
            }
        };
        callbacks.appended = [this](int host, const auto& request) {
            this->count_traffic(host, traffic_category::appends, this->costs.append(request.bytes));
            this->append_times.push_back(this->cell.now());
        };
        callbacks.has_read = [this](int host, const auto& reply) {
            this->count_traffic(host, traffic_category::reads, this->costs.read(reply));
        };
        callbacks.heartbeat = [this](int host, int peer, const auto& sent, const auto& answered) {
            const auto bytes = this->costs.heartbeat(sent, answered);
            this->count_traffic(host, traffic_category::heartbeats, bytes);
            this->count_traffic(peer, traffic_category::heartbeats,
                                {.sent = bytes.received, .received = bytes.sent});
        };
        callbacks.fetched_fleet = [this](int host) {
            this->count_traffic(host, traffic_category::fleet, this->costs.fleet());
        };
        return callbacks;
    }

    [[nodiscard]] core::team_id team(int number) const {
        return core::team_id{"team-" + std::to_string(100 + number % this->scaled(teams_at_full_size))};
    }

    void add_policies() {
        release::release_note note{.id = core::note_id{"first"}, .author = "ana"};
        note.items.push_back(
            {.policy = release::pool_policy{.name = core::pool_id{"sheets"}, .priority = 100}});
        note.items.push_back({.policy = release::pool_policy{.name = core::pool_id{"templates"},
                                                             .kind = core::work_kind::service,
                                                             .priority = 300,
                                                             .spread = true}});
        for (int number = 0; number < this->scaled(teams_at_full_size); ++number) {
            note.items.push_back({.policy = release::team_policy{
                                      .name = this->team(number),
                                      .region = core::region_id{number % 2 == 0 ? "fiji" : "brittany"},
                                      .quota = {.millicores = 4'000'000, .memory_mb = 16'000'000}}});
        }
        this->propose(note);
    }

    [[nodiscard]] static release::release_note change_note() {
        return {
            .id = core::note_id{"change"},
            .author = "ana",
            .items = {{.change = release::item_change::change,
                       .replaces = core::revision_id{1},
                       .policy = release::pool_policy{.name = core::pool_id{"sheets"}, .priority = 110}}}};
    }

    /// Proposes a release note and runs the cell until it is in force, for at most 10 s.
    void propose(const release::release_note& note) {
        const auto answer = std::make_shared<std::optional<core::note_answer>>();
        this->cell.propose(0, note, [answer](const core::note_answer& given) { *answer = given; });
        for (int second = 0; second < 10 && !*answer; ++second) {
            this->cell.run_for(1s);
        }
        if (!*answer || (*answer)->verdict != core::note_verdict::accepted) {
            throw std::runtime_error("the note " + note.id.value() + " was not accepted within 10 s");
        }
    }

    void submit_job(core::work_kind kind) {
        const int number = this->next_job++;
        const bool service = kind == core::work_kind::service;
        const auto run_time =
            service ? service_run_time : mean_run_time / 2 + mean_run_time * (number % 11) / 10;
        auto payload = std::to_string(run_time.count());
        payload.resize(payload_bytes, ' ');
        int host = number % hosts;
        while (!this->cell.alive(host)) {
            host = (host + 1) % hosts;
        }
        this->cell.submit(host, {.id = {.team = this->team(number),
                                        .key = core::request_key{"job-" + std::to_string(1000 + number)}},
                                 .pool = core::pool_id{service ? "templates" : "sheets"},
                                 .kind = kind,
                                 .tasks = tasks_per_job,
                                 .each = {.millicores = 2000, .memory_mb = 4096},
                                 .payload = payload});
    }

    double size;
    const bench::wire_cost& costs;
    std::array<host_total, hosts> totals;
    std::vector<core::steady_time> append_times;
    std::chrono::nanoseconds control_entered_at{0};
    std::map<int, std::set<core::shard_id>> shards_of;
    std::set<core::shard_id> lost_shards;
    core::steady_time killed_at{};
    std::optional<core::steady_time> first_start_after_kill;
    int next_job = 0;
    simulated_cell cell; ///< Last, because its observer refers to the other members.
};

double per_second(std::uint64_t count) {
    return static_cast<double>(count) / std::chrono::duration<double>(measurement_window).count();
}

void print_traffic(double size, const host_total& total) {
    for (std::size_t index = 0; index < category_names.size(); ++index) {
        const auto& each = total.by_category[index];
        std::printf("size %.2f  %-15s %8.1f calls/s %8.2f KB/s sent %8.2f KB/s received\n", size,
                    category_names[index], per_second(each.calls), per_second(each.sent) / 1000,
                    per_second(each.received) / 1000);
    }
}

/// Runs one size of the cell and prints its figures.
/// @param enforced whether to print rows and check their bounds.
/// @return whether every exact bound is met, or true if they are not enforced.
bool run_size(double size, const bench::wire_cost& costs, bool enforced) {
    loaded_cell cell{size, costs};
    cell.run_load(settle_time);
    cell.measure();
    const int host = cell.busiest();
    const auto& total = cell.total(host);
    print_traffic(size, total);
    const double processor = 100.0 * std::chrono::duration<double>(total.processor) /
                             std::chrono::duration<double>(measurement_window);
    const double traffic = per_second(total.bytes()) / 1000;
    const double appends = cell.appends_per_second();
    const auto most = static_cast<double>(cell.max_appends_per_second());
    const double starts = per_second(cell.starts());
    const auto owned = cell.owned_shards(host);
    const double memory = static_cast<double>(cell.kill(host)) / 1e6;
    const double takeover = cell.run_until_takeover();
    const auto breaches = cell.breaches();
    const double takeover_bound =
        std::chrono::duration<double>(settings::worker_service_options{}.lease_term + 2s).count();
    std::printf("size %.2f  busiest host: %zu shards, %.3f%% of a core, %.2f MB, %.2f KB/s; cell: %.1f "
                "starts/s, %.1f appends/s, most %.0f; takeover %.2f s; %zu breaches\n",
                size, owned, processor, memory, traffic, starts, appends, most, takeover, breaches);
    if (!enforced) {
        return true;
    }
    const std::vector<bench::row> rows{{.measure = "control of one node: processor, % of a core",
                                        .bound = "< 4.9",
                                        .figure = processor,
                                        .met = processor < processor_bound_percent,
                                        .kind = bench::figure_kind::timed},
                                       {.measure = "control of one node: heap of its state, MB",
                                        .bound = "< 64",
                                        .figure = memory,
                                        .met = memory < memory_bound_mb,
                                        .kind = bench::figure_kind::timed},
                                       {.measure = "control of one node: sent and received, KB/s",
                                        .bound = "< 30",
                                        .figure = traffic,
                                        .met = traffic < traffic_bound_kb},
                                       {.measure = "appends of the cell in its busiest second",
                                        .bound = "< 200",
                                        .figure = most,
                                        .met = most < appends_bound},
                                       {.measure = "takeover after SIGKILL to the first new start, s",
                                        .bound = "<= term + 2",
                                        .figure = takeover,
                                        .met = takeover <= takeover_bound},
                                       {.measure = "breaches of what must always hold under this load",
                                        .bound = "0",
                                        .figure = static_cast<double>(breaches),
                                        .met = breaches == 0}};
    std::ranges::for_each(rows, bench::print_row);
    return std::ranges::all_of(
        rows, [](const auto& each) { return each.met || each.kind == bench::figure_kind::timed; });
}

} // namespace

int main(int count, char** arguments) {
    const bench::wire_cost costs;
    if (count > 1 && std::string{arguments[1]} == "--sizes") {
        for (const double size : {0.25, 0.5, 2.0}) {
            run_size(size, costs, false);
        }
    }
    return run_size(1.0, costs, true) ? 0 : 1;
}
