#include "app/command_explain.h"

#include "front/api_client.h"
#include "front/json_codec.h"

#include <algorithm>

namespace rattanmount::app {

exit_code run_explain(const command_call& call) {
    cxxopts::Options options{"rattanmount explain", "Tells what a job waits for."};
    add_cell_options(options);
    add_job_argument(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const front::api_client client{{.hosts = cell.hosts}};
    const auto lines = client.explain(read_job_argument(*parsed), std::min(cell.limit, max_call_timeout));
    if (cell.json) {
        call.hooks.print(front::encode_explanation(lines) + "\n");
        return exit_code::ok;
    }
    for (const auto& line : lines) {
        call.hooks.print(line + "\n");
    }
    return exit_code::ok;
}

} // namespace rattanmount::app
