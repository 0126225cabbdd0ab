// One large job among small ones: see claim.txt.
#include "../stand_in/small_cell.h"

#include <set>

using namespace review;

namespace {

constexpr std::size_t host_count = 3;
constexpr std::size_t executor_count = 8;
constexpr std::int64_t large_job_ms = 4000;
constexpr std::int64_t traffic_ms = 40000;
constexpr std::int64_t finish_ms = 14000; ///< `finish_s`
constexpr std::int64_t watch_ms = 3000;   ///< The span of LOST in which a job has nothing running.
constexpr std::uint64_t large_job_number = 1000000;

/// Two steps of two tasks, one after the other.
json small_job() {
    const json first{{"count", 2}, {"cpu", 500}, {"memMb", 256}, {"estimatedMs", 400}};
    json second = first;
    second["after"] = {0};
    return {{"spec", "400"}, {"steps", {first, second}}};
}

/// 16,000 tasks of a 40th of a core: 400 of the service's 512 cores.
json large_job() {
    const json step{{"count", 2000}, {"cpu", 25}, {"memMb", 8}, {"estimatedMs", 12000}};
    return {{"spec", "12000"}, {"steps", json::array({step, step, step, step, step, step, step, step})}};
}

/// Returns the jobs, of those given, of which an executor has begun a task or still runs one since a time.
std::set<std::string> active_since(small_cell& cell, std::int64_t since) {
    std::set<std::string> active;
    constexpr std::size_t id_length = 16;
    for (const auto& start : cell.seen.all_starts()) {
        if (start.at_ms >= since) {
            active.insert(start.task.substr(0, id_length));
        }
    }
    for (const auto& end : cell.seen.all_ends()) {
        if (end.listed_ms >= since) {
            active.insert(end.task.substr(0, id_length));
        }
    }
    return active;
}

} // namespace

int main(int, char** arguments) {
    small_cell cell{arguments[1], host_count, executor_count, [](std::size_t i) {
                        return executor_entry{.id = "i-7f3a91c" + std::to_string(i),
                                              .service = "workers",
                                              .kind = "a",
                                              .rack = "r1-" + std::to_string(i / 4)};
                    }};
    cell.seen.writes_runs = false;
    if (!cell.wait_ready()) {
        cell.record.line("the hosts are not ready");
        return 2;
    }
    const auto begin = now_ms();
    std::vector<std::string> accepted;
    bool large_sent = without_trouble();
    for (std::uint64_t n = 0; now_ms() < begin + traffic_ms; n++) {
        if (!large_sent && now_ms() >= begin + large_job_ms) {
            large_sent = true;
            cell.record.line("the large job comes");
            if (cell.submit(job_id(large_job_number), large_job(), 0) == 200) {
                accepted.push_back(job_id(large_job_number));
            }
        }
        if (cell.submit(job_id(n), small_job(), n) == 200) {
            accepted.push_back(job_id(n));
        }
        std::this_thread::sleep_for(milliseconds{400});
    }
    std::this_thread::sleep_for(milliseconds{finish_ms});
    const auto watched_from = now_ms();
    std::map<std::string, std::string> states;
    for (const auto& id : accepted) {
        states[id] = cell.state_of(id, 0);
    }
    std::this_thread::sleep_for(milliseconds{watched_from + watch_ms - now_ms()});
    std::size_t running = 0;
    for (const auto& one : cell.executors) {
        running += one->running();
    }
    const auto active = active_since(cell, watched_from);
    std::map<std::string, int> starts_of;
    for (const auto& start : cell.seen.all_starts()) {
        starts_of[start.task.substr(0, 16)]++;
    }
    std::size_t lost = 0;
    std::map<std::string, int> shown;
    for (const auto& [id, before] : states) {
        const auto state = cell.state_of(id, 0);
        shown[state]++;
        const bool over = state == "completed" || state == "failed" || state == "cancelled";
        const int tasks = id == job_id(large_job_number) ? 16000 : 4;
        if (!over && !active.contains(id) && starts_of[id] < tasks) {
            lost++;
            cell.record.line("LOST: " + id + " was accepted, is shown as '" + state +
                             "', had nothing running for " + std::to_string(watch_ms) + " ms, and of its " +
                             std::to_string(tasks) + " tasks " + std::to_string(starts_of[id]) +
                             " have been started");
        }
    }
    for (const auto& [state, count] : shown) {
        cell.record.line("accepted jobs shown as '" + state + "': " + std::to_string(count));
    }
    std::size_t listed = 0;
    std::size_t noted = 0;
    for (const auto& end : cell.seen.all_ends()) {
        listed++;
        noted += end.noted_ms >= 0 ? 1 : 0;
    }
    cell.record.line("tasks that run on all executors: " + std::to_string(running) + "; ends listed: " +
                     std::to_string(listed) + ", taken note of: " + std::to_string(noted) +
                     "; appends refused by the store: " + std::to_string(cell.refused_appends));
    for (const auto& name : cell.ended_hosts()) {
        cell.record.line(name + " has ended by itself");
    }
    cell.record.line(lost > 0 ? "BROKEN" : "held");
    return lost > 0 ? 1 : 0;
}
