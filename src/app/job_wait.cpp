#include "app/job_wait.h"

#include "core/errors.h"

#include <algorithm>
#include <cassert>
#include <exception>

namespace rattanmount::app {

namespace {

constexpr core::milliseconds initial_pause{100};
constexpr core::milliseconds max_pause{2000};

/// The result of a call: an answer or a transient error.
struct call_result {
    core::job_answer answer;
    std::exception_ptr error;
};

call_result call_once(const std::function<core::job_answer(core::milliseconds)>& call,
                      core::milliseconds limit) {
    try {
        return {.answer = call(limit), .error = nullptr};
    } catch (const core::unavailable&) {
        return {.answer = {}, .error = std::current_exception()};
    } catch (const core::outcome_unknown&) {
        return {.answer = {}, .error = std::current_exception()};
    }
}

bool is_final(const core::job_answer& answer) {
    return answer.state == core::answer_state::ended || answer.state == core::answer_state::refused;
}

} // namespace

core::job_answer wait_for_job(const job_wait_options& options) {
    assert(options.limit > core::milliseconds::zero());
    const auto deadline = options.now() + options.limit;
    const auto remaining = [&] {
        return std::chrono::duration_cast<core::milliseconds>(deadline - options.now());
    };
    bool accepted = false;
    auto pause = initial_pause;
    call_result last;
    for (auto time_left = remaining(); time_left > core::milliseconds::zero(); time_left = remaining()) {
        last = call_once(accepted ? options.status : options.submit, std::min(time_left, options.call_limit));
        if (is_final(last.answer)) {
            return last.answer;
        }
        accepted = accepted || last.answer.state == core::answer_state::accepted;
        options.sleep(std::clamp(remaining(), core::milliseconds::zero(), pause));
        pause = std::min(pause * 2, max_pause);
    }
    if (last.error) {
        std::rethrow_exception(last.error);
    }
    last.answer.state = core::answer_state::unsettled;
    last.answer.reason =
        accepted ? "accepted, but not ended within the limit" : "not confirmed as accepted within the limit";
    return last.answer;
}

} // namespace rattanmount::app
