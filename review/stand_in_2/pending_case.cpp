// The count of waiting jobs, while the only executor that may run them refuses all starts.

#include "cell.h"

using namespace stand_in;

namespace {

constexpr unsigned executors = 12;
constexpr unsigned jobs = 10;
constexpr milliseconds refusal_time{6500};   ///< How long the executor refuses starts.
constexpr milliseconds visible{3000};        ///< The bound visible_ms.
constexpr milliseconds count_age{2000};      ///< How old a count may be.
const queue_options queue{.name = "r-3hwrr6x", .path_prefix = "/lohu930/"};

std::string id_of(unsigned job) {
    return "5c0e7a21d94b36f" + std::to_string(job);
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
    std::this_thread::sleep_for(std::chrono::seconds{4});
    auto& only = *deployment.executors.front();
    only.refuse_starts(with_trouble());
    const auto began_at = steady_clock::now();
    for (unsigned job = 0; job < jobs; job++) {
        const nlohmann::json step{{"count", 1},          {"cpu", 500},
                                  {"memMb", 256},        {"estimatedMs", 300},
                                  {"requirements", "b"}};
        const auto answer = deployment.submit(job % 3, queue, id_of(job), nlohmann::json::array({step}),
                                              {{.work = milliseconds{300}}});
        if (answer.status != 200) {
            std::cout << "a job was not accepted: " << answer.status << '\n';
            return could_not_run;
        }
    }
    const auto due_at = steady_clock::now() + visible + count_age;
    bool broken = false;
    // Counts are asked for until shortly before the executor accepts starts again.
    while (steady_clock::now() < began_at + refusal_time - milliseconds{300}) {
        std::this_thread::sleep_for(milliseconds{250});
        if (steady_clock::now() < due_at) {
            continue;
        }
        for (std::size_t host = 0; host < deployment.hosts.size(); host++) {
            const auto answer = deployment.send(host, "GET", queue.path_prefix);
            unsigned not_begun = 0;
            for (unsigned job = 0; job < jobs; job++) {
                not_begun += deployment.begun(id_of(job)) == 0 ? 1 : 0;
            }
            if (answer.status != 200) {
                continue;
            }
            const unsigned pending = nlohmann::json::parse(answer.body).at("pending");
            const bool under_half = pending * 2 < not_begun;
            record.add("jobs accepted over 5 s ago that have not begun: " + std::to_string(not_begun) +
                       ", pending: " + std::to_string(pending) + (under_half ? ": BROKEN" : ""));
            broken = broken || under_half;
        }
    }
    std::this_thread::sleep_until(began_at + refusal_time);
    only.refuse_starts(false);
    record.add("the executor accepts starts");
    std::this_thread::sleep_for(std::chrono::seconds{4});
    for (unsigned job = 0; job < jobs; job++) {
        deployment.send(job % 3, "GET", queue.path_prefix + id_of(job));
    }
    std::cout << (broken ? "broken (MIXED): jobs that have not begun are not counted as pending\n"
                         : "held: the counts are right\n");
    return broken ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments) {
    run_case(count, arguments, run);
}
