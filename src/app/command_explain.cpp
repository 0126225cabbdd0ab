#include "app/command_explain.h"

#include "app/cell_command.h"
#include "front/json_codec.h"

namespace rattanmount::app {

exit_code run_explain(const command_call& call) {
    cxxopts::Options options{"rattanmount explain", "Tells what a job waits for."};
    add_cell_options(options);
    add_job_argument(options);
    const auto command = parse_cell_command(options, call);
    if (!command) {
        return exit_code::ok;
    }
    const auto lines = command->client.explain(read_job_argument(command->arguments), command->call_limit);
    if (command->cell.json) {
        call.hooks.print(front::encode_explanation(lines) + "\n");
        return exit_code::ok;
    }
    for (const auto& line : lines) {
        call.hooks.print(line + "\n");
    }
    return exit_code::ok;
}

} // namespace rattanmount::app
