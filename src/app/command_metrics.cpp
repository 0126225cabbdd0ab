#include "app/command_metrics.h"

#include "front/api_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanmount::app {

exit_code run_metrics(const command_call& call) {
    cxxopts::Options options{
        "rattanmount metrics",
        "Prints the counters of the first entry host that answers, in the text form that "
        "collectors read; with --json as the field `metrics` of an object."};
    add_cell_options(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const front::api_client client{{.hosts = cell.hosts}};
    const auto text = client.metrics(std::min(cell.limit, max_call_timeout));
    call.hooks.print(cell.json ? nlohmann::json{{"metrics", text}}.dump() + "\n" : text);
    return exit_code::ok;
}

} // namespace rattanmount::app
