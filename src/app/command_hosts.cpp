#include "app/command_hosts.h"

#include "app/cell_command.h"
#include "front/json_codec.h"

#include <spdlog/fmt/fmt.h>

namespace rattanmount::app {

namespace {

std::string state_of(const core::host_status& host) {
    if (!host.live) {
        return "dead";
    }
    return host.leaving ? "leaving" : "live";
}

std::string describe(const std::vector<core::host_status>& hosts) {
    constexpr auto row = "{:<16} {:<16} {:<22} {:<8} {:>8}  {}\n";
    auto text = fmt::format(row, "HOST", "DATA CENTRE", "ADDRESS", "STATE", "CONFIG", "SHARDS");
    for (const auto& host : hosts) {
        std::string shards;
        for (const auto shard : host.shards) {
            shards += (shards.empty() ? "" : ",") + std::to_string(shard.value());
        }
        text += fmt::format(row, host.host.value(), host.data_centre.value(), host.address, state_of(host),
                            host.config_offset.value(), shards.empty() ? "-" : shards);
    }
    return text;
}

} // namespace

exit_code run_hosts(const command_call& call) {
    cxxopts::Options options{"rattanmount hosts",
                             "Lists the entry hosts as one of them sees them. CONFIG is how much of the "
                             "configuration stream a host has applied."};
    add_cell_options(options);
    const auto command = parse_cell_command(options, call);
    if (!command) {
        return exit_code::ok;
    }
    const auto hosts = command->client.hosts(command->call_limit);
    call.hooks.print(command->cell.json ? front::encode(hosts) + "\n" : describe(hosts));
    return exit_code::ok;
}

} // namespace rattanmount::app
