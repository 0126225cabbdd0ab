#include "tests/end_to_end/journal_checks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

namespace rattanmount::tests {

namespace {

struct run_interval {
    std::int64_t from = 0;
    std::int64_t to = std::numeric_limits<std::int64_t>::max();
    std::string attempt;
};

std::int64_t at_ms(const nlohmann::json& item) {
    return item.at("ms").get<std::int64_t>();
}

std::map<std::string, std::vector<run_interval>> runs_by_task(const std::vector<nlohmann::json>& journal) {
    std::map<std::string, run_interval> by_attempt;
    for (const auto& item : journal) {
        const auto kind = item.at("kind").get<std::string>();
        if (kind == "start") {
            const auto attempt = item.at("id").get<std::string>();
            by_attempt[attempt].from = at_ms(item);
            by_attempt[attempt].attempt = attempt;
        }
        if (kind == "end") {
            by_attempt[item.at("id").get<std::string>()].to = at_ms(item);
        }
    }
    std::map<std::string, std::vector<run_interval>> by_task;
    for (const auto& [attempt, run] : by_attempt) {
        by_task[attempt.substr(0, attempt.rfind('.'))].push_back(run);
    }
    return by_task;
}

std::size_t count_violations(const std::vector<nlohmann::json>& journal) {
    return static_cast<std::size_t>(std::ranges::count_if(journal, [](const auto& item) {
        return item.at("kind").template get<std::string>() == "violation";
    }));
}

} // namespace

std::size_t count_task_starts(const std::vector<nlohmann::json>& journal, const std::string& job) {
    return static_cast<std::size_t>(std::ranges::count_if(journal, [&](const auto& item) {
        return item.at("kind").template get<std::string>() == "start" &&
               item.at("id").template get<std::string>().starts_with(job + "#");
    }));
}

std::size_t count_request_starts(const std::vector<nlohmann::json>& journal, const std::string& id) {
    return static_cast<std::size_t>(std::ranges::count_if(
        journal, [&](const auto& item) { return item.at("kind") == "start" && item.value("id", "") == id; }));
}

void check_invariants(const std::vector<nlohmann::json>& workers,
                      const std::vector<nlohmann::json>& executors) {
    CHECK(count_violations(workers) == 0);
    CHECK(count_violations(executors) == 0);
    for (auto& [task, runs] : runs_by_task(workers)) {
        auto sorted = runs;
        std::ranges::sort(sorted, {}, &run_interval::from);
        for (std::size_t index = 1; index < sorted.size(); ++index) {
            INFO(sorted[index - 1].attempt << " and " << sorted[index].attempt << " run at once");
            CHECK(sorted[index - 1].to <= sorted[index].from);
        }
    }
}

void check_caller_records(const std::vector<caller_record>& records,
                          const std::vector<nlohmann::json>& workers,
                          const std::vector<nlohmann::json>& executors) {
    for (const auto& record : records) {
        const auto requests = count_request_starts(executors, record.id);
        const auto runs = count_task_starts(workers, record.id) + requests;
        INFO(record.id << " ran " << runs << " times, answered '" << record.answer << "'");
        CHECK((record.idempotent || runs <= 1));
        CHECK_FALSE((record.not_run && runs > 0));
        CHECK_FALSE((record.completed && requests == 0));
        CHECK_FALSE((record.completed && !record.answer.starts_with(record.id + "\n")));
        CHECK_FALSE((record.accepted && !record.ended));
    }
}

void check_no_new_work(const std::vector<nlohmann::json>& journal, const std::string& target,
                       std::int64_t leaving_since_ms) {
    constexpr std::int64_t allowed_ms = 3000;
    for (const auto& item : journal) {
        if (item.at("kind") == "start" && item.value("target", "") == target) {
            INFO(item.dump() << " after " << leaving_since_ms);
            CHECK(at_ms(item) <= leaving_since_ms + allowed_ms);
        }
    }
}

} // namespace rattanmount::tests
