#include "app/quick_calls.h"

#include "app/ask.h"
#include "core/errors.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace rattanmount::app {

namespace {

using control::host_control;
using control::job_route;
using control::quick_route;
using platform::call_verdict;

constexpr core::milliseconds control_limit{1000}; ///< For questions that the control thread answers at once.
constexpr core::milliseconds owner_pause{50};     ///< Before the owner of a shard is looked for again.

core::milliseconds left_until(core::steady_time deadline) {
    return std::chrono::duration_cast<core::milliseconds>(deadline - std::chrono::steady_clock::now());
}

core::quick_answer not_run(std::string reason) {
    return {.result = core::outcome::not_run, .reason = std::move(reason)};
}

core::quick_answer unknown(std::string reason) {
    return {.result = core::outcome::unknown, .reason = std::move(reason)};
}

core::job_spec payment_spec(const core::quick_request& request) {
    return {.id = request.id,
            .pool = request.pool,
            .kind = core::work_kind::quick,
            .idempotent = false,
            .max_attempts = 1,
            .service = request.service,
            .payload = request.body};
}

cell::slot_release release_for(call_verdict verdict) {
    switch (verdict) {
    case call_verdict::answered:
    case call_verdict::failed:
    case call_verdict::refused:
        return cell::slot_release::done;
    case call_verdict::not_sent:
        return cell::slot_release::unsent;
    case call_verdict::timed_out:
        return cell::slot_release::lost;
    case call_verdict::broken:
        return cell::slot_release::broken;
    }
    return cell::slot_release::broken;
}

} // namespace

quick_calls::quick_calls(quick_calls_options options, control::control_thread& control)
    : options(std::move(options)), control(control) {}

core::steady_time quick_calls::deadline_of(const core::quick_request& request) {
    const auto limit = ask<core::milliseconds>(
        this->control, control_limit,
        [pool = request.pool](host_control& state, core::steady_time, const auto& respond) {
            respond(state.quick_limit(pool));
        });
    auto longest = limit.answer.value_or(core::milliseconds{0});
    if (request.limit.count() > 0) {
        longest = std::min(longest, request.limit);
    }
    return std::chrono::steady_clock::now() + longest;
}

core::quick_answer quick_calls::call(const core::quick_request& request) {
    payment_spec(request).check();
    const auto deadline = this->deadline_of(request);
    return request.idempotent ? this->serve(request, deadline) : this->pay(request, deadline);
}

core::quick_answer quick_calls::serve(const core::quick_request& request, core::steady_time deadline) {
    core::quick_answer answer;
    for (std::uint32_t attempt = 0; attempt < this->options.max_attempts; ++attempt) {
        bool may_retry = false;
        answer = this->send(request, deadline, may_retry);
        if (!may_retry || left_until(deadline).count() <= 0) {
            return answer;
        }
    }
    return answer;
}

core::quick_answer quick_calls::send(const core::quick_request& request, core::steady_time deadline,
                                     bool& may_retry) {
    const auto found = this->wait_for_slot(request, deadline);
    if (!found.slot) {
        return not_run(found.reason);
    }
    const auto& slot = *found.slot;
    const auto left = left_until(deadline);
    if (left.count() <= 0) {
        this->release(slot, cell::slot_release::unsent);
        return not_run("no slot was free in time");
    }
    const auto correlation =
        this->options.incarnation.value() + "-" + std::to_string(this->next_correlation++);
    auto reply = this->options.executors.call({.executor = slot.executor,
                                               .address = slot.address,
                                               .correlation = correlation,
                                               .id = request.id,
                                               .body = request.body,
                                               .limit = left});
    this->release(slot, release_for(reply.verdict));
    core::quick_answer answer{.reason = reply.reason, .executor = slot.executor};
    switch (reply.verdict) {
    case call_verdict::answered:
        answer.result = core::outcome::completed;
        answer.body = std::move(reply.body);
        return answer;
    case call_verdict::failed:
        answer.result = core::outcome::failed;
        return answer;
    case call_verdict::refused:
    case call_verdict::not_sent:
        answer.result = core::outcome::not_run;
        may_retry = true;
        return answer;
    case call_verdict::timed_out:
    case call_verdict::broken:
        answer.result = core::outcome::unknown;
        return answer;
    }
    return answer;
}

quick_calls::slot_answer quick_calls::wait_for_slot(const core::quick_request& request,
                                                    core::steady_time deadline) {
    slot_answer answer;
    do {
        answer = this->find_slot(request, deadline);
        if (answer.slot || answer.refused) {
            return answer;
        }
        std::this_thread::sleep_for(this->options.slot_pause);
    } while (left_until(deadline).count() > 0);
    return answer;
}

quick_calls::slot_answer quick_calls::find_slot(const core::quick_request& request,
                                                core::steady_time deadline) {
    const auto limit = std::max(left_until(deadline), core::milliseconds{1});
    const auto route =
        ask<quick_route>(this->control, limit,
                         [request, limit](host_control& state, core::steady_time now, const auto& respond) {
                             respond(state.reserve(request, limit, now));
                         });
    if (!route.taken) {
        return {.refused = true, .reason = "this entry host is overloaded"};
    }
    if (!route.answer) {
        return {.refused = true, .reason = "no slot was free in time"};
    }
    switch (route.answer->target) {
    case quick_route::target_type::granted:
        return {.slot = held_slot{.shard = route.answer->shard,
                                  .grant = route.answer->slot.grant,
                                  .executor = route.answer->slot.executor,
                                  .address = route.answer->slot.address}};
    case quick_route::target_type::refused:
        return {.refused = true, .reason = route.answer->reason};
    case quick_route::target_type::none:
        return {.reason = "no slot was free in time"};
    case quick_route::target_type::ask:
        break;
    }
    try {
        const auto grant =
            this->options.connect(route.answer->peer)
                .reserve_slot(route.answer->shard, request.service, this->options.incarnation, limit, limit);
        if (grant.granted) {
            return {.slot = held_slot{.shard = route.answer->shard,
                                      .grant = grant.grant,
                                      .executor = grant.executor,
                                      .address = grant.address,
                                      .peer = route.answer->peer}};
        }
        return {.reason = grant.reason};
    } catch (const core::error& error) {
        // A grant whose answer was lost is freed by its owner when the request's limit has passed.
        return {.reason = error.what()};
    }
}

void quick_calls::release(const held_slot& slot, cell::slot_release how) {
    if (slot.peer.port == 0) {
        this->control.reply(
            [shard = slot.shard, grant = slot.grant, how](host_control& state, core::steady_time) {
                state.release_slot(shard, grant, how);
            });
        return;
    }
    try {
        this->options.connect(slot.peer).release_slot(slot.shard, slot.grant, how, control_limit);
    } catch (const core::error&) {
        // The owner frees the slot when the request's limit has passed.
        return;
    }
}

core::quick_answer quick_calls::pay(const core::quick_request& request, core::steady_time deadline) {
    std::string reason = "no owner of the key's shard was reached in time";
    while (left_until(deadline).count() > 0) {
        const auto route =
            ask<job_route>(this->control, left_until(deadline),
                           [id = request.id](host_control& state, core::steady_time now,
                                             const auto& respond) { respond(state.route(id, now)); });
        if (!route.answer) {
            return not_run("this entry host is overloaded");
        }
        if (route.answer->target == job_route::target_type::refused) {
            return not_run(route.answer->reason);
        }
        cell::owner_quick_answer answer;
        auto left = request;
        left.limit = std::max(left_until(deadline), core::milliseconds{1});
        if (route.answer->target == job_route::target_type::local) {
            answer = this->pay_as_owner(route.answer->shard, left);
        }
        if (route.answer->target == job_route::target_type::peer) {
            try {
                answer = this->options.connect(route.answer->peer).quick(route.answer->shard, left);
            } catch (const core::unavailable& error) {
                reason = error.what();
            } catch (const core::fate_unknown& error) {
                return unknown(std::string{error.what()} + "; ask by the key");
            }
        }
        if (answer.owner) {
            return answer.answer;
        }
        std::this_thread::sleep_for(owner_pause);
    }
    return not_run(reason);
}

cell::owner_quick_answer quick_calls::pay_as_owner(core::shard_id shard, const core::quick_request& request) {
    const auto deadline = std::chrono::steady_clock::now() + request.limit;
    const auto begun =
        ask<cell::owner_answer>(this->control, request.limit,
                                [spec = payment_spec(request),
                                 shard](host_control& state, core::steady_time now, const auto& respond) {
                                    state.begin_payment(shard, spec, now, respond);
                                });
    if (!begun.taken) {
        return {.owner = true, .answer = not_run("the entry host is overloaded")};
    }
    if (!begun.answer) {
        // The intent may be recorded and nobody will send the request: the outcome is settled as not run by
        // the record that follows the intent in the same stream.
        this->control.reply([shard, id = request.id](host_control& state, core::steady_time) {
            state.end_payment(shard, id, core::outcome::not_run, "the intent was not recorded in time",
                              [] {});
        });
        return {.owner = true, .answer = unknown("the log did not answer in time; ask by the key")};
    }
    if (!begun.answer->owner) {
        return {};
    }
    const auto& answer = begun.answer->answer;
    if (answer.state != core::answer_state::accepted) {
        return {.owner = true, .answer = {.result = answer.result, .reason = answer.reason}};
    }
    bool may_retry = false;
    auto result = this->send(request, deadline, may_retry);
    // A caller who asks again before this is recorded is told `unsettled`, and the outcome afterwards.
    static_cast<void>(ask<bool>(
        this->control, this->options.record_limit,
        [shard, id = request.id, result](host_control& state, core::steady_time, const auto& respond) {
            state.end_payment(shard, id, result.result, result.reason, [respond] { respond(true); });
        }));
    return {.owner = true, .answer = result};
}

} // namespace rattanmount::app
