// A gang with sameRack, while no rack has enough executors left for it.

#include "cell.h"

using namespace stand_in;

namespace {

constexpr unsigned racks = 3;
constexpr unsigned executors_per_rack = 8;
constexpr unsigned members = 8;
constexpr unsigned member_cpu = 10000; ///< Of 16000: one member on an executor.
constexpr milliseconds work_time{2000};
constexpr std::chrono::seconds finish{14};
constexpr std::chrono::seconds idle_limit{3};
const queue_options queue{.name = "r-73d3zji", .path_prefix = "/pufi791/", .priority = 2, .max_attempts = 2};

int run(cell& deployment, case_record& record) {
    deployment.put_configuration(7, {queue});
    for (unsigned rack = 0; rack < racks; rack++) {
        for (unsigned i = 0; i < executors_per_rack; i++) {
            deployment.add_executor({.id = "i-" + std::to_string(rack) + std::to_string(i) + "f3a91c",
                                     .zone = "zone-" + std::to_string(rack),
                                     .rack = "r" + std::to_string(rack) + "-1"});
        }
    }
    for (const auto* name : {"edge-1", "edge-2", "edge-3"}) {
        deployment.start_host(name, "zone-0");
    }
    if (!deployment.wait_until_ready(std::chrono::seconds{20})) {
        std::cout << "the hosts did not become ready\n";
        return could_not_run;
    }
    std::this_thread::sleep_for(std::chrono::seconds{3});
    if (with_trouble()) {
        for (unsigned rack = 0; rack < racks; rack++) {
            deployment.executors.at(rack * executors_per_rack)->crash();
        }
    }
    // Their entries have expired, and their leases too, when the job comes.
    std::this_thread::sleep_for(std::chrono::seconds{12});
    const std::string id = "5c0e7a21d94b36f8";
    const nlohmann::json step{{"count", members},
                              {"cpu", member_cpu},
                              {"memMb", 1024},
                              {"estimatedMs", work_time.count()},
                              {"gang", true},
                              {"sameRack", true}};
    const auto answer = deployment.submit(0, queue, id, nlohmann::json::array({step}),
                                          {{.count = members, .work = work_time, .gang = true}});
    if (answer.status != 200) {
        std::cout << "the job was not accepted: " << answer.status << '\n';
        return could_not_run;
    }
    const auto accepted_at = steady_clock::now();
    auto busy_at = accepted_at;
    while (steady_clock::now() < accepted_at + finish + idle_limit + std::chrono::seconds{3}) {
        std::this_thread::sleep_for(milliseconds{100});
        if (deployment.at_work(id) > 0) {
            busy_at = steady_clock::now();
        }
        if (deployment.begun(id) >= members && deployment.at_work(id) == 0) {
            break;
        }
    }
    std::this_thread::sleep_for(milliseconds{500});
    const auto state = deployment.send(1, "GET", queue.path_prefix + id);
    const bool completed = state.body.find("completed") != std::string::npos;
    unsigned left = 0;
    for (const auto& one : deployment.executors) {
        left += one->is_gone() ? 0 : 1;
    }
    const auto idle = std::chrono::duration_cast<milliseconds>(steady_clock::now() - busy_at);
    record.add("runs begun: " + std::to_string(deployment.begun(id)) + "; nothing of the job has run for " +
               std::to_string(idle.count()) + " ms; sound idle executors: " + std::to_string(left) +
               ", needed: " + std::to_string(members));
    std::cout << (completed ? "held: the job completed\n"
                            : "broken (LOST): the accepted job has nothing running, though " +
                                  std::to_string(left) + " sound executors are idle and it needs " +
                                  std::to_string(members) + '\n');
    return completed ? rule_held : rule_broken;
}

} // namespace

int main(int count, char** arguments) {
    run_case(count, arguments, run);
}
