#include "core/errors.h"
#include "workflow/queue_policy.h"
#include "workflow/task_name.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

using namespace workflow;

TEST_CASE("a task name survives formatting and parsing") {
    const task_name name{.step = {.job = job_key{"5c0e7a21d94b36f8"}, .occurrence = 3, .step = 1},
                         .index = 17};
    CHECK(name.text() == "5c0e7a21d94b36f8.3.1.17");
    CHECK(task_name::parse(name.text()) == name);
}

TEST_CASE("texts that are not task names are refused") {
    for (const auto* text :
         {"", "a", "a.1.2", "a.1.2.", "a.1.2.x", ".1.2", "a.-1.0.0", "a.1.2.99999999999"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(task_name::parse(text), core::invalid_argument);
    }
}

TEST_CASE("the longest prefix selects the route, and the host is compared case-insensitively") {
    configuration config;
    config.routes = {{.host = "a.example", .path_prefix = "/x/", .policy = {.queue = queue_id{"short"}}},
                     {.host = "a.example", .path_prefix = "/x/y/", .policy = {.queue = queue_id{"long"}}},
                     {.host = "b.example", .path_prefix = "/", .policy = {.queue = queue_id{"other"}}}};
    CHECK(config.route_of("A.Example", "/x/y/1")->policy.queue == queue_id{"long"});
    CHECK(config.route_of("a.example", "/x/1")->policy.queue == queue_id{"short"});
    CHECK(config.route_of("a.example", "/z") == nullptr);
    CHECK(config.policy_of(queue_id{"other"}) != nullptr);
    CHECK(config.policy_of(queue_id{"none"}) == nullptr);
}

TEST_CASE("invalid jobs fail the check") {
    job_request job{.key = job_key{"a"}};
    CHECK_THROWS_AS(job.check(), core::invalid_argument);
    job.steps = {step_request{}};
    CHECK_NOTHROW(job.check());
    job.steps[0].after = {0};
    CHECK_THROWS_AS(job.check(), core::invalid_argument);
    job.steps[0].after = {};
    job.steps[0].tasks = 0;
    CHECK_THROWS_AS(job.check(), core::invalid_argument);
    job.steps[0].tasks = 1;
    job.steps[0].each.millicores = -1;
    CHECK_THROWS_AS(job.check(), core::invalid_argument);
}

} // namespace rattanmount::tests
