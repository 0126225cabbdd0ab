#include "app/job_wait.h"
#include "core/errors.h"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::app;
using namespace std::chrono_literals;
using core::answer_state;
using core::outcome;

namespace {

/// A cell with scripted answers, and a clock that only advances in pauses.
struct scripted_cell {
    std::deque<answer_state> submits; ///< The last answer of a script repeats.
    std::deque<answer_state> statuses;
    int failures = 0; ///< Number of first calls that reach no host.
    int submit_calls = 0;
    int status_calls = 0;
    core::steady_time now{};

    core::job_answer next(std::deque<answer_state>& script) {
        if (this->failures > 0) {
            --this->failures;
            throw core::unavailable("no entry host");
        }
        const auto state = script.front();
        if (script.size() > 1) {
            script.pop_front();
        }
        return {.state = state, .result = outcome::completed};
    }

    job_wait_options options(core::milliseconds limit) {
        return {.submit =
                    [this](core::milliseconds) {
                        ++this->submit_calls;
                        return this->next(this->submits);
                    },
                .status =
                    [this](core::milliseconds) {
                        ++this->status_calls;
                        return this->next(this->statuses);
                    },
                .now = [this] { return this->now; },
                .sleep = [this](core::milliseconds time) { this->now += time; },
                .limit = limit,
                .call_limit = 1s};
    }
};

} // namespace

TEST_CASE("waiting ends when the job has ended, and backs off between the calls") {
    scripted_cell cell{.submits = {answer_state::accepted},
                       .statuses = {answer_state::accepted, answer_state::unsettled, answer_state::ended}};
    const auto answer = wait_for_job(cell.options(1min));
    CHECK(answer.state == answer_state::ended);
    CHECK(cell.submit_calls == 1);
    CHECK(cell.status_calls == 3);
    CHECK(cell.now == core::steady_time{} + 100ms + 200ms + 400ms);
}

TEST_CASE("a submission whose outcome is not known is repeated") {
    scripted_cell cell{.submits = {answer_state::unsettled, answer_state::accepted},
                       .statuses = {answer_state::ended},
                       .failures = 2};
    CHECK(wait_for_job(cell.options(1min)).state == answer_state::ended);
    CHECK(cell.submit_calls == 4);
}

TEST_CASE("a refusal ends the wait immediately") {
    scripted_cell cell{.submits = {answer_state::refused}};
    CHECK(wait_for_job(cell.options(1min)).state == answer_state::refused);
    CHECK(cell.submit_calls == 1);
    CHECK(cell.now == core::steady_time{});
}

TEST_CASE("a job that does not end within the limit is reported as unsettled") {
    scripted_cell cell{.submits = {answer_state::accepted}, .statuses = {answer_state::accepted}};
    CHECK(wait_for_job(cell.options(10s)).state == answer_state::unsettled);
    CHECK(cell.now == core::steady_time{} + 10s);
    CHECK(cell.status_calls < 12);
}

TEST_CASE("waiting reports unavailable if no host is reached within the limit") {
    scripted_cell cell{.failures = 1000};
    CHECK_THROWS_AS(wait_for_job(cell.options(10s)), core::unavailable);
}
