#include "app/command_metrics.h"

#include "app/cell_command.h"

#include <nlohmann/json.hpp>

namespace rattanmount::app {

exit_code run_metrics(const command_call& call) {
    cxxopts::Options options{
        "rattanmount metrics",
        "Prints the counters of the first entry host that answers, in the text form that "
        "collectors read; with --json as the field `metrics` of an object."};
    add_cell_options(options);
    const auto command = parse_cell_command(options, call);
    if (!command) {
        return exit_code::ok;
    }
    const auto text = command->client.metrics(command->call_limit);
    call.hooks.print(command->cell.json ? nlohmann::json{{"metrics", text}}.dump() + "\n" : text);
    return exit_code::ok;
}

} // namespace rattanmount::app
