#include "app/job_text.h"

#include "core/names.h"

#include <spdlog/fmt/fmt.h>

namespace rattanmount::app {

namespace {

std::string describe(const core::job_status& status) {
    auto text = fmt::format("  {} in pool {}: {} tasks, {} waiting, {} running, {} ended\n",
                            to_string(status.spec.kind), status.spec.pool.value(), status.spec.tasks,
                            status.tasks_waiting, status.tasks_running, status.tasks_ended);
    for (const auto& place : status.places) {
        text += "  " + place + "\n";
    }
    return text;
}

} // namespace

std::string describe(const core::job_id& id, const core::job_answer& answer) {
    auto text = fmt::format("{}: {}", id.text(), to_string(answer.state));
    if (answer.state != core::answer_state::accepted) {
        text += fmt::format(", {}", to_string(answer.result));
    }
    text += answer.reason.empty() ? "\n" : fmt::format(" ({})\n", answer.reason);
    return answer.status ? text + describe(*answer.status) : text;
}

exit_code exit_code_of(const core::job_answer& answer) {
    switch (answer.state) {
    case core::answer_state::accepted:
        return exit_code::ok;
    case core::answer_state::ended:
        return exit_code_of(answer.result);
    case core::answer_state::refused:
        return answer.result == core::outcome::unknown ? exit_code::unsettled : exit_code::not_run;
    case core::answer_state::unsettled:
        break;
    }
    return exit_code::unsettled;
}

exit_code exit_code_of(core::outcome result) {
    switch (result) {
    case core::outcome::completed:
        return exit_code::ok;
    case core::outcome::failed:
        return exit_code::failed;
    case core::outcome::not_run:
        return exit_code::not_run;
    case core::outcome::unknown:
        break;
    }
    return exit_code::unsettled;
}

} // namespace rattanmount::app
