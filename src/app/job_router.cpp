#include "app/job_router.h"

#include "app/control_call.h"
#include "app/deadline.h"
#include "core/errors.h"

#include <algorithm>
#include <thread>

namespace rattanmount::app {

namespace {

using control::host_control;
using control::job_route;

cell::owner_answer final_answer(core::answer_state state, core::outcome result, const std::string& reason) {
    return {.is_owner = true, .answer = {.state = state, .result = result, .reason = reason}};
}

} // namespace

job_router::job_router(job_router_options options, control::control_thread& control)
    : options(std::move(options)), control(control) {}

cell::owner_answer job_router::call_owner(const core::job_id& job, core::milliseconds limit,
                                          const owner_call& call) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    bool may_have_effect = false;
    std::optional<core::shard_id> moved_to;
    cell::owner_answer home_shard_answer;
    std::string reason = "no owner of the job's shard was reached in time";
    while (remaining_until(deadline).count() > 0) {
        const auto route = call_control<job_route>(
            this->control, remaining_until(deadline),
            [job, moved_to](host_control& state, core::steady_time now, const auto& respond) {
                respond(moved_to ? state.route_to(*moved_to, now) : state.route(job, now));
            });
        if (!route.accepted) {
            return final_answer(core::answer_state::refused, core::outcome::not_run,
                                "this entry host is overloaded");
        }
        if (!route.answer) {
            break;
        }
        const auto shard = route.answer->shard;
        cell::owner_answer answer;
        if (route.answer->target == job_route::target_type::refused) {
            return final_answer(core::answer_state::refused, core::outcome::not_run, route.answer->reason);
        }
        if (route.answer->target == job_route::target_type::local) {
            const auto local = call_control<cell::owner_answer>(
                this->control, remaining_until(deadline),
                [local_form = call.local, shard](host_control& state, core::steady_time now,
                                                 const auto& respond) {
                    local_form(state, shard, now, respond);
                });
            may_have_effect = may_have_effect || (local.accepted && !local.answer);
            answer = local.answer.value_or(cell::owner_answer{});
        }
        if (route.answer->target == job_route::target_type::peer) {
            try {
                answer = call.remote(this->options.connect(route.answer->peer), shard,
                                     std::max(remaining_until(deadline), core::milliseconds{1}));
            } catch (const core::unavailable& error) {
                reason = error.what();
            } catch (const core::outcome_unknown& error) {
                may_have_effect = true;
                reason = error.what();
            }
        }
        const bool is_in_transfer = moved_to && answer.answer.state == core::answer_state::refused;
        if (answer.is_owner && !answer.moved_to && !is_in_transfer) {
            return answer;
        }
        if (answer.is_owner && answer.moved_to) {
            moved_to = answer.moved_to;
            home_shard_answer = answer;
            continue;
        }
        if (is_in_transfer && call.read_only) {
            return home_shard_answer;
        }
        std::this_thread::sleep_for(this->options.owner_retry_pause);
    }
    if (may_have_effect) {
        return final_answer(core::answer_state::unsettled, core::outcome::unknown,
                            reason + "; query the outcome by the same key");
    }
    return final_answer(core::answer_state::refused, core::outcome::not_run, reason);
}

core::job_answer job_router::submit(const core::job_spec& spec, core::milliseconds limit) {
    spec.check();
    if (spec.kind == core::work_kind::quick) {
        throw core::invalid_argument("kind: quick work must be sent as a quick request, not as a job");
    }
    return this
        ->call_owner(
            spec.id, limit,
            {.local =
                 [spec](host_control& state, core::shard_id shard, core::steady_time now,
                        control::owner_responder respond) {
                     state.submit(shard, spec, std::chrono::system_clock::now(), false, now,
                                  std::move(respond));
                 },
             .remote = [&spec](const cell::peer_calls& peer, core::shard_id shard,
                               core::milliseconds timeout) { return peer.submit(shard, spec, timeout); }})
        .answer;
}

core::job_answer job_router::status(const core::job_id& job, core::milliseconds limit) {
    return this
        ->call_owner(
            job, limit,
            {.local =
                 [job](host_control& state, core::shard_id shard, core::steady_time now,
                       const control::owner_responder& respond) { state.status(shard, job, now, respond); },
             .remote = [&job](const cell::peer_calls& peer, core::shard_id shard,
                              core::milliseconds timeout) { return peer.status(shard, job, timeout); }})
        .answer;
}

core::job_answer job_router::cancel(const core::job_id& job, core::milliseconds limit) {
    return this
        ->call_owner(
            job, limit,
            {.local =
                 [job](host_control& state, core::shard_id shard, core::steady_time now,
                       const control::owner_responder& respond) { state.cancel(shard, job, now, respond); },
             .remote = [&job](const cell::peer_calls& peer, core::shard_id shard,
                              core::milliseconds timeout) { return peer.cancel(shard, job, timeout); },
             .read_only = false})
        .answer;
}

std::vector<std::string> job_router::explain(const core::job_id& job, core::milliseconds limit) {
    auto answer = this->call_owner(
        job, limit,
        {.local = [job](host_control& state, core::shard_id shard, core::steady_time now,
                        const control::owner_responder& respond) { state.explain(shard, job, now, respond); },
         .remote = [&job](const cell::peer_calls& peer, core::shard_id shard,
                          core::milliseconds timeout) { return peer.explain(shard, job, timeout); }});
    return answer.explanation.empty() ? std::vector<std::string>{answer.answer.reason}
                                      : std::move(answer.explanation);
}

} // namespace rattanmount::app
