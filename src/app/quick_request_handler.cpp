#include "app/quick_request_handler.h"

#include "app/control_call.h"
#include "app/deadline.h"
#include "core/errors.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace rattanmount::app {

namespace {

using control::host_control;
using control::job_route;
using control::quick_route;
using external::call_verdict;

/// The timeout of calls that the control thread answers immediately.
constexpr core::milliseconds control_timeout{1000};
/// The time that the control thread's reply may take after the limit of a reservation, if no slot was free.
constexpr core::milliseconds control_reply_margin{100};
/// An attempt that fails this close to its deadline, or later, counts as abandoned by its executor.
constexpr core::milliseconds abandon_tolerance{20};
/// The delay before the owner of a shard is looked up again.
constexpr core::milliseconds owner_retry_pause{50};

core::quick_answer not_run(std::string reason) {
    return {.result = core::outcome::not_run, .reason = std::move(reason)};
}

core::quick_answer unknown(std::string reason) {
    return {.result = core::outcome::unknown, .reason = std::move(reason)};
}

core::job_spec quick_job_spec(const core::quick_request& request) {
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
        return cell::slot_release::done;
    case call_verdict::refused:
    case call_verdict::not_sent:
        return cell::slot_release::refused;
    case call_verdict::timed_out:
        return cell::slot_release::lost;
    case call_verdict::broken:
        return cell::slot_release::broken;
    }
    return cell::slot_release::broken;
}

} // namespace

quick_request_handler::quick_request_handler(quick_request_handler_options options,
                                             control::control_thread& control)
    : options(std::move(options)), control(control), metrics(*this->options.metrics),
      budget(this->options.retry_budget) {}

core::steady_time quick_request_handler::deadline_of(const core::quick_request& request) {
    const auto limit = call_control<core::milliseconds>(
        this->control, control_timeout,
        [pool = request.pool](host_control& state, core::steady_time, const auto& respond) {
            respond(state.quick_limit(pool));
        });
    auto longest = limit.answer.value_or(core::milliseconds{0});
    if (request.limit.count() > 0) {
        longest = std::min(longest, request.limit);
    }
    return std::chrono::steady_clock::now() + longest;
}

core::quick_answer quick_request_handler::call(const core::quick_request& request) {
    quick_job_spec(request).check();
    request_progress progress{.started_at = std::chrono::steady_clock::now(),
                              .deadline = this->deadline_of(request)};
    auto answer = request.idempotent ? this->serve_idempotent(request, progress)
                                     : this->serve_once(request, progress.deadline);
    this->metrics.count_answer(answer.result);
    return answer;
}

core::quick_answer quick_request_handler::serve_idempotent(const core::quick_request& request,
                                                           request_progress& progress) {
    {
        const std::lock_guard lock{this->budget_mutex};
        this->budget.on_request();
    }
    for (std::uint32_t attempt = 1;; ++attempt) {
        // The last attempt may use all of the remaining time.
        const bool last = attempt == this->options.max_attempts || progress.earlier_attempt_may_have_run;
        const auto remaining = remaining_until(progress.deadline);
        auto result = this->send(request, last ? remaining : this->options.attempt_timeout, progress);
        if (last || !this->prepare_retry(result, progress)) {
            if (result.answer.result == core::outcome::completed) {
                this->metrics.overhead.record(std::chrono::steady_clock::now() - progress.started_at -
                                              progress.executor_time);
            }
            return result.answer;
        }
        this->metrics.retries.add();
    }
}

bool quick_request_handler::prepare_retry(const attempt_result& result, request_progress& progress) {
    if (result.next == next_step::give_answer) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto resume =
        result.next == next_step::retry_now ? now : result.ends_at + this->options.attempt_end_margin;
    if (resume >= progress.deadline) {
        return false;
    }
    {
        const std::lock_guard lock{this->budget_mutex};
        if (!this->budget.take()) {
            this->metrics.retries_denied.add();
            return false;
        }
    }
    if (result.next == next_step::retry_after_end) {
        progress.earlier_attempt_may_have_run = true;
        std::this_thread::sleep_until(resume);
    }
    return true;
}

quick_request_handler::attempt_result quick_request_handler::send(const core::quick_request& request,
                                                                  core::milliseconds attempt_limit,
                                                                  request_progress& progress) {
    // If an earlier attempt may have run, `not_run` would be wrong for the request as a whole.
    const auto not_sent = [&progress](std::string reason) {
        return attempt_result{.answer = progress.earlier_attempt_may_have_run ? unknown(std::move(reason))
                                                                              : not_run(std::move(reason))};
    };
    const auto requested_at = std::chrono::steady_clock::now();
    const auto found = this->wait_for_slot(request, attempt_limit, progress.deadline);
    if (!found.slot) {
        this->metrics.shed.add();
        return not_sent(found.reason);
    }
    const auto& slot = *found.slot;
    const auto sent_at = std::chrono::steady_clock::now();
    this->metrics.slot_wait.record(sent_at - requested_at);
    const auto remaining =
        std::min(attempt_limit, remaining_until(std::min(progress.deadline, slot.deadline)));
    if (remaining.count() <= 0) {
        this->release(slot, cell::slot_release::unsent);
        return not_sent("no slot was free in time");
    }
    const auto correlation =
        this->options.incarnation.value() + "-" + std::to_string(this->next_correlation++);
    auto reply = this->options.executors.call({.executor = slot.executor,
                                               .address = slot.address,
                                               .correlation = correlation,
                                               .id = request.id,
                                               .body = request.body,
                                               .limit = remaining});
    progress.executor_time +=
        std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - sent_at);
    this->release(slot, release_for(reply.verdict));
    attempt_result result{.answer = {.reason = reply.reason, .executor = slot.executor}};
    switch (reply.verdict) {
    case call_verdict::answered:
        result.answer.result = core::outcome::completed;
        result.answer.body = std::move(reply.body);
        return result;
    case call_verdict::failed:
        result.answer.result = core::outcome::failed;
        if (std::chrono::steady_clock::now() - sent_at + abandon_tolerance >= remaining) {
            // The executor abandoned the attempt at its deadline, and reported this shortly before the client
            // timed out.
            result.next = next_step::retry_after_end;
            result.ends_at = sent_at;
        }
        return result;
    case call_verdict::refused:
    case call_verdict::not_sent:
        result.answer.result =
            progress.earlier_attempt_may_have_run ? core::outcome::unknown : core::outcome::not_run;
        result.next = next_step::retry_now;
        return result;
    case call_verdict::timed_out:
    case call_verdict::broken:
        result.answer.result = core::outcome::unknown;
        result.next = next_step::retry_after_end;
        result.ends_at = sent_at + remaining;
        return result;
    }
    return result;
}

quick_request_handler::slot_result quick_request_handler::wait_for_slot(const core::quick_request& request,
                                                                        core::milliseconds attempt_limit,
                                                                        core::steady_time deadline) {
    slot_result answer;
    do {
        // Each iteration blocks in the queue of this host or of a peer.
        answer = this->try_reserve_slot(request, attempt_limit, deadline);
    } while (!answer.slot && !answer.refused && remaining_until(deadline).count() > 0);
    return answer;
}

quick_request_handler::slot_result quick_request_handler::try_reserve_slot(const core::quick_request& request,
                                                                           core::milliseconds attempt_limit,
                                                                           core::steady_time deadline) {
    const auto limit = std::max(remaining_until(deadline), core::milliseconds{1});
    // The control thread sheds the request when its limit expires; the margin leaves time for its answer.
    const auto route = call_control<quick_route>(
        this->control, limit + control_reply_margin,
        [request, limit, attempt_limit](host_control& state, core::steady_time now, const auto& respond) {
            state.reserve(request, limit, attempt_limit, now, respond);
        });
    if (!route.accepted) {
        return {.refused = true, .reason = "this entry host is overloaded"};
    }
    if (!route.answer) {
        return {.refused = true, .reason = "no slot was free in time"};
    }
    switch (route.answer->target) {
    case quick_route::target_type::granted:
        return {.slot = reserved_slot{.shard = route.answer->shard,
                                      .grant = route.answer->slot.grant,
                                      .executor = route.answer->slot.executor,
                                      .address = route.answer->slot.address,
                                      .deadline = route.answer->until}};
    case quick_route::target_type::shed:
    case quick_route::target_type::refused:
        return {.refused = true, .reason = route.answer->reason};
    case quick_route::target_type::ask_peer:
        break;
    }
    return this->reserve_at_peer(request, *route.answer, attempt_limit, deadline);
}

quick_request_handler::slot_result quick_request_handler::reserve_at_peer(const core::quick_request& request,
                                                                          const quick_route& route,
                                                                          core::milliseconds attempt_limit,
                                                                          core::steady_time deadline) {
    const auto requested_at = std::chrono::steady_clock::now();
    const auto remaining = std::max(remaining_until(deadline), core::milliseconds{1});
    const auto wait = std::min(remaining, this->options.max_peer_wait);
    const auto limit = std::min(remaining, attempt_limit + wait);
    slot_result answer;
    try {
        const auto grant =
            this->options.connect(route.peer)
                .reserve_slot(route.shard, request.service, this->options.incarnation, limit, wait);
        answer.reason = grant.reason;
        if (grant.granted) {
            answer.slot = reserved_slot{.shard = route.shard,
                                        .grant = grant.grant,
                                        .executor = grant.executor,
                                        .address = grant.address,
                                        .peer = route.peer,
                                        .deadline = requested_at + limit};
        }
    } catch (const core::error& error) {
        // If a slot was granted but the answer was lost, its owner frees it after the request's deadline.
        answer.reason = error.what();
    }
    this->control.reply([shard = route.shard, service = request.service,
                         refused = !answer.slot](host_control& state, core::steady_time now) {
        state.on_peer_slot(shard, service, refused, now);
    });
    return answer;
}

void quick_request_handler::release(const reserved_slot& slot, cell::slot_release how) {
    if (slot.peer.port == 0) {
        this->control.reply(
            [shard = slot.shard, grant = slot.grant, how](host_control& state, core::steady_time now) {
                state.release_slot(shard, grant, how, now);
            });
        return;
    }
    try {
        this->options.connect(slot.peer).release_slot(slot.shard, slot.grant, how, control_timeout);
    } catch (const core::error&) {
        // The owner frees the slot after the request's deadline.
        return;
    }
}

core::quick_answer quick_request_handler::serve_once(const core::quick_request& request,
                                                     core::steady_time deadline) {
    std::string reason = "no owner of the key's shard was reached in time";
    while (remaining_until(deadline).count() > 0) {
        const auto route = call_control<job_route>(
            this->control, remaining_until(deadline),
            [id = request.id](host_control& state, core::steady_time now, const auto& respond) {
                respond(state.route(id, now));
            });
        if (!route.answer) {
            return not_run("this entry host is overloaded");
        }
        if (route.answer->target == job_route::target_type::refused) {
            return not_run(route.answer->reason);
        }
        cell::owner_quick_answer answer;
        auto remaining_request = request;
        remaining_request.limit = std::max(remaining_until(deadline), core::milliseconds{1});
        if (route.answer->target == job_route::target_type::local) {
            answer = this->serve_as_owner(route.answer->shard, remaining_request);
        }
        if (route.answer->target == job_route::target_type::peer) {
            try {
                answer =
                    this->options.connect(route.answer->peer).quick(route.answer->shard, remaining_request);
            } catch (const core::unavailable& error) {
                reason = error.what();
            } catch (const core::outcome_unknown& error) {
                return unknown(std::string{error.what()} + "; query the outcome by the same key");
            }
        }
        if (answer.is_owner) {
            return answer.answer;
        }
        std::this_thread::sleep_for(owner_retry_pause);
    }
    return not_run(reason);
}

cell::owner_quick_answer quick_request_handler::serve_as_owner(core::shard_id shard,
                                                               const core::quick_request& request) {
    const auto deadline = std::chrono::steady_clock::now() + request.limit;
    const auto intent = call_control<cell::owner_answer>(
        this->control, request.limit,
        [spec = quick_job_spec(request), shard](host_control& state, core::steady_time now,
                                                const auto& respond) {
            state.record_quick_intent(shard, spec, now, respond);
        });
    if (!intent.accepted) {
        return {.is_owner = true, .answer = not_run("the entry host is overloaded")};
    }
    if (!intent.answer) {
        // The intent may still be recorded, but the request will not be sent. The next record in the same
        // stream sets its outcome to `not_run`.
        this->control.reply([shard, id = request.id](host_control& state, core::steady_time) {
            state.record_quick_outcome(shard, id, core::outcome::not_run,
                                       "the intent was not recorded in time", [] {});
        });
        return {.is_owner = true,
                .answer = unknown("the log did not answer in time; query the outcome by the same key")};
    }
    if (!intent.answer->is_owner) {
        return {};
    }
    const auto& answer = intent.answer->answer;
    if (answer.state != core::answer_state::accepted) {
        return {.is_owner = true, .answer = {.result = answer.result, .reason = answer.reason}};
    }
    request_progress progress{.started_at = std::chrono::steady_clock::now(), .deadline = deadline};
    const auto result = this->send(request, request.limit, progress).answer;
    // A caller that repeats the request gets `unsettled` until the outcome is recorded, and then the outcome.
    static_cast<void>(call_control<bool>(
        this->control, this->options.record_timeout,
        [shard, id = request.id, result](host_control& state, core::steady_time, const auto& respond) {
            state.record_quick_outcome(shard, id, result.result, result.reason, [respond] { respond(true); });
        }));
    return {.is_owner = true, .answer = result};
}

} // namespace rattanmount::app
