#include "app/command_status.h"

#include "app/job_text.h"
#include "front/api_client.h"
#include "front/json_codec.h"

#include <algorithm>

namespace rattanmount::app {

exit_code run_status(const command_call& call) {
    cxxopts::Options options{"rattanmount status", "Tells where a job stands."};
    add_cell_options(options);
    add_job_argument(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const auto id = read_job_argument(*parsed);
    const front::api_client client{{.hosts = cell.hosts}};
    const auto answer = client.status(id, std::min(cell.limit, max_call_timeout));
    call.hooks.print(cell.json ? front::encode(answer) + "\n" : describe(id, answer));
    return exit_code_of(answer);
}

} // namespace rattanmount::app
