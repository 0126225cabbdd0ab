// A start gets no answer and is carried out late, by the executor's next life under the same id, after a second
// try of it has ended done.

#include "cell.h"

#include <atomic>

using namespace stand_in;

namespace {

constexpr unsigned executors = 10;
constexpr unsigned rounds = 4;
constexpr milliseconds work_time{300};
constexpr milliseconds late_after{2000}; ///< A late order is carried out 2 s after it was sent, or later.
constexpr milliseconds down_time{600};
const queue_options queue{.name = "r-3hwrr6x", .path_prefix = "/lohu930/"};

/// Sends jobs that the other executors run, until it is stopped.
void send_usual_jobs(cell& deployment, const std::atomic<bool>& stop) {
    for (unsigned number = 0; !stop; number++) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0x7a210000U + number);
        const nlohmann::json step{
            {"count", 3}, {"cpu", 500}, {"memMb", 256}, {"estimatedMs", 300}, {"requirements", "a"}};
        deployment.submit(number % deployment.hosts.size(), queue, id, nlohmann::json::array({step}),
                          {{.count = 3, .work = work_time}});
        std::this_thread::sleep_for(milliseconds{100});
    }
}

bool has(cell& deployment, const std::set<std::string>& tasks, const std::string& task) {
    const std::lock_guard guard{deployment.work.mutex};
    return tasks.contains(task);
}

int run(cell& deployment, case_record& record) {
    deployment.put_configuration(7, {queue});
    for (unsigned i = 0; i < executors; i++) {
        deployment.add_executor({.id = "i-7f3a91c" + std::to_string(i),
                                 .zone = "zone-" + std::to_string(i % 3),
                                 .kind = i == 0 ? "b" : "a",
                                 .rack = "r" + std::to_string(i % 3) + "-1"});
    }
    for (const auto* name : {"edge-1", "edge-2", "edge-3"}) {
        deployment.start_host(name, "zone-0");
    }
    if (!deployment.wait_until_ready(std::chrono::seconds{20})) {
        std::cout << "the hosts did not become ready\n";
        return could_not_run;
    }
    auto& only = *deployment.executors.front();
    std::atomic<bool> stop{false};
    std::thread{[&] { send_usual_jobs(deployment, stop); }}.detach();
    unsigned twice = 0;
    for (unsigned round = 0; round < rounds; round++) {
        std::this_thread::sleep_for(std::chrono::seconds{round == 0 ? 4 : 12});
        const std::string id = "5c0e7a21d94b36f" + std::to_string(round);
        const std::string task = id + ".0.0.0";
        if (with_trouble()) {
            only.carry_out_late(task);
        }
        const nlohmann::json step{{"count", 1},          {"cpu", 500},
                                  {"memMb", 256},        {"estimatedMs", work_time.count()},
                                  {"requirements", "b"}};
        const auto sent_at = steady_clock::now();
        const auto answer =
            deployment.submit(round % 3, queue, id, nlohmann::json::array({step}), {{.work = work_time}});
        if (answer.status != 200) {
            std::cout << "a job was not accepted: " << answer.status << '\n';
            return could_not_run;
        }
        std::this_thread::sleep_until(sent_at + late_after + milliseconds{200} - down_time);
        deployment.send(round % 3, "GET", queue.path_prefix + id);
        if (with_trouble()) {
            only.restart(down_time);
        }
        std::this_thread::sleep_for(std::chrono::seconds{3});
        if (has(deployment, deployment.work.begun_after_done, task) &&
            has(deployment, deployment.work.done_noted, task)) {
            twice++;
        }
    }
    stop = true;
    std::this_thread::sleep_for(milliseconds{500});
    record.add("tasks that began again after an end `done` that was taken note of: " + std::to_string(twice));
    std::cout << (twice > 0 ? "broken (TWICE): " + std::to_string(twice) + " of " + std::to_string(rounds) +
                                  " tasks began again after they had ended done\n"
                            : "held: no task began again after it had ended done\n");
    return twice > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments) {
    run_case(count, arguments, run);
}
