#pragma once

#include "control/control_thread.h"
#include "core/time.h"

#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace rattanmount::app {

/// What a traffic thread got from the control thread.
/// @tparam Answer the type of the answer.
template <typename Answer>
struct asked {
    bool taken = false;           ///< false: the control thread's queue was full, and nothing happened.
    std::optional<Answer> answer; ///< Empty where none came in time; the question may still take effect.
};

/// Puts a question to the control thread and waits for the answer.
///
/// For traffic threads only.
/// @tparam Answer the type of the answer.
/// @param control the control thread.
/// @param limit how long to wait.
/// @param question called by the control thread as question(state, now, respond); it or the state's later
///        events call respond(answer) once.
/// @return the answer, where it came in time.
template <typename Answer, typename Question>
asked<Answer> ask(control::control_thread& control, core::milliseconds limit, Question question) {
    const auto promise = std::make_shared<std::promise<Answer>>();
    auto answer = promise->get_future();
    const auto respond = [promise](Answer value) { promise->set_value(std::move(value)); };
    const bool taken = control.request(
        [question = std::move(question), respond](
            control::host_control& state, core::steady_time now) mutable { question(state, now, respond); });
    if (!taken) {
        return {};
    }
    // A responder that is dropped breaks the promise; that counts as no answer.
    if (answer.wait_for(limit) != std::future_status::ready) {
        return {.taken = true};
    }
    try {
        return {.taken = true, .answer = answer.get()};
    } catch (const std::future_error&) {
        return {.taken = true};
    }
}

} // namespace rattanmount::app
