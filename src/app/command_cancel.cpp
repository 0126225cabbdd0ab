#include "app/command_cancel.h"

#include "app/cell_command.h"
#include "app/job_text.h"
#include "front/json_codec.h"

namespace rattanmount::app {

namespace {

/// Cancelling a job that has ended succeeds, whatever its outcome is.
exit_code cancel_exit_code(const core::job_answer& answer) {
    const bool has_ended =
        answer.state == core::answer_state::ended && answer.result != core::outcome::unknown;
    return has_ended ? exit_code::ok : exit_code_of(answer);
}

} // namespace

exit_code run_cancel(const command_call& call) {
    cxxopts::Options options{"rattanmount cancel",
                             "Cancels a job. The answer tells whether it ran; a job that is over is left."};
    add_cell_options(options);
    add_job_argument(options);
    const auto command = parse_cell_command(options, call);
    if (!command) {
        return exit_code::ok;
    }
    const auto id = read_job_argument(command->arguments);
    const auto answer = command->client.cancel(id, command->call_limit);
    call.hooks.print(command->cell.json ? front::encode(answer) + "\n" : describe(id, answer));
    return cancel_exit_code(answer);
}

} // namespace rattanmount::app
