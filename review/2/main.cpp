// The leader is killed while more than 500 short tasks on one executor end: see claim.txt.
#include "../stand_in/small_cell.h"

using namespace review;

namespace {

constexpr std::size_t host_count = 3;
constexpr std::size_t executor_count = 2;
constexpr std::int64_t work_ms = 3000;
constexpr int rounds = 3;
constexpr milliseconds round_length{16000};
constexpr milliseconds restart_delay{500};

/// 1,200 tasks of a tenth of a core: 600 on each executor of 64 cores.
json job() {
    return {{"spec", std::to_string(work_ms)},
            {"steps", {{{"count", 1200}, {"cpu", 100}, {"memMb", 64}, {"estimatedMs", work_ms}}}}};
}

/// Returns the host that started to lead last.
host& leader_of(small_cell& cell) {
    std::size_t leader = 0;
    std::string latest;
    for (std::size_t i = 0; i < cell.hosts.size(); i++) {
        std::ifstream log{cell.hosts[i]->log_path()};
        for (std::string line; std::getline(log, line);) {
            if (line.find("started to lead the cell") != std::string::npos && line.substr(0, 29) > latest) {
                latest = line.substr(0, 29);
                leader = i;
            }
        }
    }
    return *cell.hosts[leader];
}

} // namespace

int main(int, char** arguments) {
    small_cell cell{arguments[1], host_count, executor_count, [](std::size_t i) {
                        return executor_entry{.id = "i-7f3a91c" + std::to_string(i),
                                              .service = "workers",
                                              .kind = "a",
                                              .rack = "r1-" + std::to_string(i)};
                    }};
    cell.seen.writes_runs = false;
    if (!cell.wait_ready()) {
        cell.record.line("the hosts are not ready");
        return 2;
    }
    for (int n = 0; n < rounds; n++) {
        const auto round_end = now_ms() + round_length.count();
        const auto before = cell.seen.all_starts().size();
        if (cell.submit(job_id(static_cast<std::uint64_t>(n)), job(), 0) != 200 ||
            !wait_until([&] { return cell.seen.all_starts().size() > before; }, milliseconds{5000})) {
            cell.record.line("the job wasn't accepted or isn't started");
            return 2;
        }
        const auto first_start = cell.seen.all_starts()[before].at_ms;
        std::this_thread::sleep_for(milliseconds{first_start + work_ms - 50 - now_ms()});
        cell.record.line("running: " + std::to_string(cell.executors[0]->running()) + " and " +
                         std::to_string(cell.executors[1]->running()) + " tasks");
        if (!without_trouble()) {
            auto& leader = leader_of(cell);
            cell.record.line("SIGKILL of " + leader.id() + ", which leads");
            leader.kill(SIGKILL);
            std::this_thread::sleep_for(restart_delay);
            leader.start();
            cell.record.line(leader.id() + " is started again");
        }
        std::this_thread::sleep_for(milliseconds{round_end - now_ms()});
        cell.record.line("the job is shown as '" + cell.state_of(job_id(static_cast<std::uint64_t>(n)), 1) +
                         "'");
    }
    std::size_t twice = 0;
    const auto starts = cell.seen.all_starts();
    std::map<std::string, std::vector<seen_start>> starts_of;
    for (const auto& start : starts) {
        starts_of[start.task].push_back(start);
    }
    for (const auto& end : cell.seen.all_ends()) {
        if (end.how != "done" || end.noted_ms < 0) {
            continue;
        }
        for (const auto& start : starts_of[end.task]) {
            if (start.at_ms > end.listed_ms && start.run != end.run && ++twice <= 20) {
                cell.record.line("TWICE: " + end.task + " run " + std::to_string(end.run) +
                                 " ended done on " + end.executor + " at " + std::to_string(end.listed_ms) +
                                 " ms (taken note of at " + std::to_string(end.noted_ms) + " ms); run " +
                                 std::to_string(start.run) + " started on " + start.executor + " at " +
                                 std::to_string(start.at_ms) + " ms");
            }
        }
    }
    cell.record.line("starts: " + std::to_string(starts.size()) + " of " + std::to_string(rounds * 1200) +
                     " tasks; after an end that was taken note of: " + std::to_string(twice));
    cell.record.line(twice > 0 ? "BROKEN" : "held");
    return twice > 0 ? 1 : 0;
}
