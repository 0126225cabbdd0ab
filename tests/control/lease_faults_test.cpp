#include "tests/control/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

using namespace rattanmount;
using namespace rattanmount::tests;
using namespace std::chrono_literals;

namespace {

constexpr core::milliseconds lease_term = 2s;

int first_owner(simulated_cell& cell) {
    for (int host = 0; host < 3; ++host) {
        if (cell.alive(host) && cell.host(host)->owned_shards() > 0) {
            return host;
        }
    }
    FAIL("no host owns a shard");
    return 0;
}

bool owned_by(simulated_cell& cell, int host, core::shard_id shard) {
    return cell.host(host)->route_to(shard, cell.now()).target == control::job_route::target_type::local;
}

void submit_many(simulated_cell& cell, const std::string& prefix, int count, core::milliseconds run_time) {
    for (int number = 0; number < count; ++number) {
        cell.submit(number % 3, batch_job(prefix + std::to_string(number), run_time));
    }
}

void check_all_ended(simulated_cell& cell) {
    for (const auto& breach : cell.violations()) {
        FAIL_CHECK(breach);
    }
    for (const auto& [id, job] : cell.jobs()) {
        const auto last = cell.status(id);
        INFO(id.text() << ": " << (last ? last->reason : "no owner"));
        if (!job.accepted) {
            continue;
        }
        CHECK((last && last->state == core::answer_state::ended));
    }
}

} // namespace

TEST_CASE("an owner that was paused past the end of its leases sends no starts when it resumes") {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        simulated_cell cell{{.seed = seed}};
        cell.run_for(3s);
        cell.apply_first_note();
        const int owner = first_owner(cell);
        // Some attempts are still being recorded in the log when the pause begins.
        for (int number = 0; number < 20; ++number) {
            cell.submit(owner, batch_job("waiting-" + std::to_string(number), 1s));
            cell.run_for(5ms);
        }
        constexpr core::milliseconds pause = 8s;
        cell.pause(owner, pause);
        const auto resumed = cell.now() + pause;
        cell.run_for(pause + 1s);
        const auto sent = std::ranges::count_if(cell.sent_starts(), [&](const auto& start) {
            return start.host == owner && start.at >= resumed && start.at < resumed + 300ms;
        });
        CHECK(sent == 0);
        cell.run_for(90s);
        check_all_ended(cell);
    }
}

TEST_CASE("after the kill of an owner its shards start new work within the lease term and 2 s") {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        simulated_cell cell{{.seed = seed}};
        cell.run_for(3s);
        cell.apply_first_note();
        const int owner = first_owner(cell);
        std::set<core::shard_id> lost;
        for (std::uint32_t shard = 0; shard < 4; ++shard) {
            if (owned_by(cell, owner, core::shard_id{shard})) {
                lost.insert(core::shard_id{shard});
            }
        }
        REQUIRE_FALSE(lost.empty());
        const auto killed = cell.now();
        cell.kill(owner);
        const int survivor = (owner + 1) % 3;
        std::map<core::shard_id, core::steady_time> first_start;
        for (int round = 0; round < 80; ++round) {
            cell.submit(survivor, batch_job("after-" + std::to_string(round), 50ms));
            cell.run_for(100ms);
        }
        for (const auto& start : cell.sent_starts()) {
            const auto shard = cell.host(survivor)->route(start.attempt.job, cell.now()).shard;
            if (start.at > killed && lost.contains(shard)) {
                first_start.emplace(shard, start.at);
            }
        }
        for (const auto shard : lost) {
            REQUIRE(first_start.contains(shard));
            const auto took = std::chrono::duration_cast<core::milliseconds>(first_start.at(shard) - killed);
            INFO("shard " << shard.value() << " took " << took.count() << " ms");
            CHECK(took <= lease_term + 2s);
        }
    }
}

TEST_CASE("cancellations that race with starts and finishes leave every job ended exactly once") {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        simulated_cell cell{{.seed = seed, .lost_answers = 0.05}};
        cell.run_for(3s);
        cell.apply_first_note();
        for (int wave = 0; wave < 4; ++wave) {
            const auto prefix = "wave-" + std::to_string(wave) + "-";
            submit_many(cell, prefix, 30, 300ms);
            cell.run_for(core::milliseconds{100 * wave + 50});
            for (int number = 0; number < 30; ++number) {
                const core::job_id job{.team = core::team_id{"tabua"},
                                       .key = core::request_key{prefix + std::to_string(number)}};
                for (int host = 0; host < 3; ++host) {
                    cell.cancel(host, job);
                }
            }
        }
        cell.run_for(30s);
        check_all_ended(cell);
        const auto ended_as = [&](core::outcome result) {
            return std::ranges::count_if(cell.jobs(), [&](const auto& job) {
                const auto last = cell.status(job.first);
                return last && last->result == result;
            });
        };
        // The cancellations hit jobs that wait, jobs that run and jobs that have ended.
        CHECK(ended_as(core::outcome::completed) > 0);
        CHECK(ended_as(core::outcome::not_run) > 0);
        CHECK(ended_as(core::outcome::failed) > 0);
    }
}

TEST_CASE("cutting one host off from the log, the peers or the workers violates no invariant") {
    struct cut_case {
        bool log, peers, workers;
    };
    for (const auto cut :
         {cut_case{true, false, false}, cut_case{false, true, false}, cut_case{false, false, true},
          cut_case{true, true, false}, cut_case{false, true, true}, cut_case{true, false, true}}) {
        INFO("cut from log " << cut.log << ", peers " << cut.peers << ", workers " << cut.workers);
        simulated_cell cell{{.seed = 7}};
        cell.run_for(3s);
        cell.apply_first_note();
        submit_many(cell, "before-", 30, 2s);
        cell.run_for(1s);
        const int owner = first_owner(cell);
        cell.cut(owner, cut.log, cut.peers, cut.workers);
        cell.run_for(15s);
        cell.heal(owner);
        cell.run_for(60s);
        check_all_ended(cell);
    }
}
