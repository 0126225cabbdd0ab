#include "app/cell_command.h"

#include <algorithm>
#include <utility>

namespace rattanmount::app {

std::optional<cell_command> parse_cell_command(cxxopts::Options& options, const command_call& call) {
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return std::nullopt;
    }
    auto cell = read_cell_options(*parsed, call);
    front::api_client client{{.hosts = cell.hosts}};
    const auto call_limit = std::min(cell.limit, max_call_timeout);
    return cell_command{
        .arguments = *parsed, .cell = std::move(cell), .call_limit = call_limit, .client = std::move(client)};
}

} // namespace rattanmount::app
