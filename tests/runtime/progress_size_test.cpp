#include "dispatch/live_job.h"
#include "dispatch/progress_records.h"
#include "inner/workflow_codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace dispatch;

/// The platform's limit of a record, without the length of its key.
constexpr std::size_t max_record_bytes = 262143;
const core::worker_id usual_worker{"i-7f3a91c0"};

workflow::step_request step_of(std::uint32_t tasks) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 25, .memory_mb = 8, .accelerators = 0};
    step.estimate = 12s;
    return step;
}

/// A job of the dispatcher, with all occurrences that are to be open.
struct job_fixture {
    workflow::job_entry entry;
    live_job job;

    job_fixture(std::uint32_t steps, std::uint32_t tasks, std::uint32_t max_attempts = 3) {
        auto& request = this->entry.accepted.request;
        request.key = workflow::job_key{"5c0e7a2100000000"};
        request.steps.assign(steps, step_of(tasks));
        this->entry.accepted.policy.max_attempts = max_attempts;
        this->entry.progress.key = request.key;
    }

    void open(std::uint32_t occurrence = 0) {
        this->job.entry = &this->entry;
        if (!this->job.layout) {
            this->job.layout.emplace(this->entry.accepted);
        }
        add_occurrence(this->job, occurrence, core::epoch_id{1}, {});
    }

    void start(live_step& step, std::uint32_t index, const core::worker_id& worker) {
        this->job.phase = workflow::job_phase::running;
        step.tasks[index].last_run = 1;
        step.tasks[index].runs.push_back({.run = 1, .worker = worker});
        add_changed_part(step, index);
    }

    void start_all(std::uint32_t occurrence, const core::worker_id& worker) {
        for (auto& step : this->job.occurrences.at(occurrence).steps) {
            for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
                this->start(step, i, worker);
            }
        }
    }

    void complete(std::uint32_t occurrence) {
        auto& place = this->job.occurrences.at(occurrence);
        for (auto& step : place.steps) {
            for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
                step.tasks[i].runs.clear();
                step.tasks[i].done = true;
                add_changed_part(step, i);
            }
            step.done_tasks = static_cast<std::uint32_t>(step.tasks.size());
        }
        place.complete_steps = static_cast<std::uint32_t>(place.steps.size());
    }

    /// @return the stored form of what has changed.
    std::vector<cell::keyed_record> take() {
        std::vector<cell::keyed_record> items;
        for (const auto& record : take_changed_records(this->job, core::epoch_id{1})) {
            for (auto& item : inner::encode_record(record)) {
                items.push_back(std::move(item));
            }
        }
        return items;
    }
};

std::size_t longest(const std::vector<cell::keyed_record>& items) {
    std::size_t bytes = 0;
    for (const auto& item : items) {
        bytes = std::max(bytes, item.bytes());
    }
    return bytes;
}

std::size_t total(const std::vector<cell::keyed_record>& items) {
    std::size_t bytes = 0;
    for (const auto& item : items) {
        bytes += item.bytes();
    }
    return bytes;
}

} // namespace

// LOST: the progress of a large job was one record, which the log rejected, and the whole cell stood still.
TEST_CASE("the records of progress of a large job are short, and one task costs one of them") {
    job_fixture large{8, 2000};
    large.open();
    large.start_all(0, usual_worker);
    const auto all = large.take();
    CHECK(all.size() == large.job.layout->parts());
    CHECK(longest(all) < 4096);
    auto& step = large.job.occurrences.at(0).steps[5];
    step.tasks[700].runs.clear();
    step.tasks[700].ended_run = 1;
    add_changed_part(step, 700);
    const auto one = large.take();
    CHECK(one.size() == 1);
    CHECK(total(one) < 4096);
    CHECK(large.take().empty());
}

TEST_CASE("no part of a job exceeds the platform's limit, whatever its tasks have to record") {
    const auto max_attempts = GENERATE(1U, 3U, 1000U, 30000U);
    CAPTURE(max_attempts);
    constexpr std::size_t longest_name = 255;
    constexpr std::uint32_t largest_run = 2'000'000'000;
    job_fixture job{max_attempts > 3 ? 1U : 64U, max_attempts > 3 ? 40U : 100U, max_attempts};
    job.open();
    job.start_all(0, core::worker_id{std::string(longest_name, 'w')});
    for (auto& step : job.job.occurrences.at(0).steps) {
        for (auto& task : step.tasks) {
            task.last_run = largest_run;
            task.ended_run = largest_run;
            task.checkpoint = workflow::checkpoint_id{std::string(workflow::max_checkpoint_bytes, 'c')};
            for (std::uint32_t i = 1; i < max_attempts; i++) {
                task.failed_runs.insert(task.failed_runs.end(), largest_run - max_attempts + i);
            }
        }
    }
    CHECK(longest(job.take()) <= max_record_bytes);
}

// LOST: a scheduled job recorded each of its past occurrences with every change.
TEST_CASE("occurrences that are over are recorded by one bit each") {
    constexpr std::uint32_t occurrences = workflow::request_limits::max_occurrences;
    job_fixture scheduled{2, 3};
    scheduled.entry.accepted.request.recurs =
        workflow::recurrence{.first = {}, .interval = 10ms, .times = occurrences};
    std::size_t most_bytes = 0;
    int keys_in_log = 0;
    for (std::uint32_t i = 0; i < occurrences; i++) {
        scheduled.open(i);
        scheduled.start_all(i, usual_worker);
        if (i > 0) {
            scheduled.complete(i - 1);
        }
        const auto items = scheduled.take();
        most_bytes = std::max(most_bytes, total(items));
        for (const auto& item : items) {
            keys_in_log += item.key.front() == 'q' ? (item.value.empty() ? -1 : 1) : 0;
        }
    }
    CHECK(most_bytes < 2048);
    CHECK(scheduled.job.occurrences.size() == 1);
    CHECK(keys_in_log == 1);
}

TEST_CASE("a job that a former version recorded as a whole is recorded in parts by its first change") {
    job_fixture large{1, 2000};
    workflow::step_progress whole{.done = std::vector<bool>(2000, false)};
    whole.done[1999] = true;
    whole.open[1000] = {.last_run = 1, .worker = usual_worker};
    large.entry.progress.steps = {whole};
    large.open();
    large.start(large.job.occurrences.at(0).steps[0], 0, usual_worker);
    const auto items = large.take();
    REQUIRE(items.size() == 3); // The parts of the tasks 1000 and 1999, and then the record of the job.
    CHECK(items[0].key.front() == 'q');
    CHECK(items[1].key.front() == 'q');
    CHECK(items[2].key.front() == 'p');
}

// TWICE, LOST: the tasks of a gang are done together, also if only some of its parts were stored.
TEST_CASE("a gang of which the log has some tasks as done counts as not done") {
    constexpr std::uint32_t members = 300;
    const bool all_stored = GENERATE(false, true);
    job_fixture gang{1, members};
    gang.entry.accepted.request.steps.front().gang = true;
    const std::uint32_t stored = all_stored ? members : 145;
    gang.entry.progress.steps = {{.done = std::vector<bool>(stored, true)}};
    gang.open();
    const auto& step = gang.job.occurrences.at(0).steps.front();
    CHECK(step.done_tasks == (all_stored ? members : 0));
    CHECK(std::count_if(step.tasks.begin(), step.tasks.end(),
                        [](const live_task& task) { return task.done; }) == (all_stored ? members : 0));
}

TEST_CASE("an ended job leaves no parts in the log") {
    job_fixture large{2, 2000};
    large.open();
    large.start_all(0, usual_worker);
    const auto parts = large.take().size() - 1;
    large.job.phase = workflow::job_phase::failed;
    const auto items = large.take();
    REQUIRE(items.size() == parts + 1);
    CHECK(items.front().key.front() == 'p');
    CHECK(std::all_of(items.begin() + 1, items.end(), [](const auto& item) { return item.value.empty(); }));
}

/// Hidden; run it by its tag. Prints what docs/CAPACITY.md says of the bytes of a record.
TEST_CASE("bytes of records", "[.sizes]") {
    for (const std::uint32_t tasks : {1U, 10U, 100U, 1000U}) {
        job_fixture job{1, tasks};
        std::cout << tasks << " tasks: accepted " << total(inner::encode_record(job.entry.accepted));
        job.open();
        job.start_all(0, usual_worker);
        std::cout << ", running " << total(job.take());
        job.complete(0);
        job.job.occurrences.at(0).steps[0].tasks[0].done = false;
        std::cout << ", all but one done " << total(job.take()) << " bytes\n";
    }
    for (const std::size_t workers : {48U, 540U, 800U}) {
        workflow::roster_record roster;
        for (std::size_t i = 0; i < workers; i++) {
            constexpr std::uint64_t started{1764892800000};
            const core::worker_id worker{"i-" + std::to_string(10000000 + i)};
            roster.workers.insert(worker);
            roster.incarnations.emplace(worker, workflow::worker_incarnation_id{started + i});
        }
        std::cout << "roster of " << workers << " workers: " << total(inner::encode_record(roster))
                  << " bytes\n";
    }
    const workflow::member_record member{.host = core::host_id{"edge-viti-suva-1"},
                                         .incarnation = core::incarnation_id{"edge-viti-suva-1-18c2a3b4d5e6"},
                                         .inner = {.address = "10.1.0.13", .port = 7720, .path = ""},
                                         .data_centre = core::data_centre_id{"viti-suva"},
                                         .processor_share = 0.25};
    std::cout << "member: " << total(inner::encode_record(member)) << " bytes\n";
    const workflow::leader_record leader{
        .epoch = core::epoch_id{7}, .host = member.host, .leader = member.incarnation};
    std::cout << "leader: " << total(inner::encode_record(leader)) << " bytes\n";
}

} // namespace rattanmount::tests
