#pragma once

#include "control/control_thread.h"
#include "core/time.h"

#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace rattanmount::app {

/// The result of a call from a traffic thread to the control thread.
/// @tparam Answer the type of the answer.
template <typename Answer>
struct control_result {
    bool accepted = false;        ///< False if the control thread's queue was full; the call had no effect.
    std::optional<Answer> answer; ///< Empty if none arrived in time; the call may still take effect later.
};

/// Runs a function on the control thread and waits for its answer.
///
/// Blocks the calling thread; for traffic threads only.
/// @tparam Answer the type of the answer.
/// @param control the control thread.
/// @param timeout how long to wait for the answer.
/// @param function called on the control thread as function(state, now, respond). It either calls
///        respond(answer) itself or leaves this to a later event of the state; respond is called at most
///        once.
/// @return whether the call was queued, and the answer if it arrived in time.
template <typename Answer, typename Function>
control_result<Answer> call_control(control::control_thread& control, core::milliseconds timeout,
                                    Function function) {
    const auto promise = std::make_shared<std::promise<Answer>>();
    auto answer = promise->get_future();
    const auto respond = [promise](Answer value) { promise->set_value(std::move(value)); };
    const bool accepted = control.request(
        [function = std::move(function), respond](
            control::host_control& state, core::steady_time now) mutable { function(state, now, respond); });
    if (!accepted) {
        return {};
    }
    // If all copies of `respond` are destroyed without a call, the promise is broken; this counts as no
    // answer.
    if (answer.wait_for(timeout) != std::future_status::ready) {
        return {.accepted = true};
    }
    try {
        return {.accepted = true, .answer = answer.get()};
    } catch (const std::future_error&) {
        return {.accepted = true};
    }
}

} // namespace rattanmount::app
