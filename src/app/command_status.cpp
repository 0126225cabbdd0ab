#include "app/command_status.h"

#include "app/cell_command.h"
#include "app/job_text.h"
#include "front/json_codec.h"

namespace rattanmount::app {

exit_code run_status(const command_call& call) {
    cxxopts::Options options{"rattanmount status", "Tells where a job stands."};
    add_cell_options(options);
    add_job_argument(options);
    const auto command = parse_cell_command(options, call);
    if (!command) {
        return exit_code::ok;
    }
    const auto id = read_job_argument(command->arguments);
    const auto answer = command->client.status(id, command->call_limit);
    call.hooks.print(command->cell.json ? front::encode(answer) + "\n" : describe(id, answer));
    return exit_code_of(answer);
}

} // namespace rattanmount::app
