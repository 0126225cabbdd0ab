#include "app/command_timeline.h"

#include "app/event_gathering.h"
#include "core/errors.h"
#include "front/api_client.h"
#include "telemetry/event_list.h"
#include "telemetry/event_text.h"
#include "telemetry/trace_events.h"

#include <algorithm>
#include <fstream>
#include <set>

namespace rattanmount::app {

namespace {

void add_filter_options(cxxopts::Options& options) {
    const auto text = [&options](const char* name, const char* what, const char* value) {
        options.add_options()(name, what, cxxopts::value<std::string>(), value);
    };
    text("job", "only events of this job or attempt", "TEAM/KEY[#TASK.ATTEMPT]");
    text("worker", "only events of this worker", "NAME");
    text("host", "only events that this entry host recorded", "NAME");
    text("trace", "write a file for trace viewers in place of printing", "FILE");
}

/// @return the entry hosts that the command names, and those that one of them reports as live.
std::vector<core::endpoint> find_hosts(const command_call& call, const cell_options& cell) {
    std::set<core::endpoint> found{cell.hosts.begin(), cell.hosts.end()};
    try {
        const front::api_client client{{.hosts = cell.hosts}};
        for (const auto& host : client.hosts(std::min(cell.limit, max_call_timeout))) {
            if (host.live && !host.address.empty()) {
                found.insert(core::endpoint::parse(host.address));
            }
        }
    } catch (const core::error& error) {
        call.hooks.print_error("cannot list the live hosts, so only the named hosts are read: " +
                               std::string{error.what()} + "\n");
    }
    return {found.begin(), found.end()};
}

std::vector<telemetry::event> read_events(const command_call& call, const cell_options& cell) {
    const auto limit = std::min(cell.limit, max_call_timeout);
    return gather_events(find_hosts(call, cell),
                         {.read_host =
                              [limit](const core::endpoint& host) {
                                  return front::api_client{{.hosts = {host}}}.timeline(limit);
                              },
                          .warn = [&call](const std::string& text) { call.hooks.print_error(text + "\n"); }});
}

void write_trace(const std::string& path, const std::vector<telemetry::event>& events) {
    std::ofstream file{path, std::ios::binary};
    file << telemetry::format_trace_events(events) << '\n';
    file.close();
    if (!file) {
        throw core::invalid_argument("the file '" + path + "' cannot be written");
    }
}

} // namespace

exit_code run_timeline(const command_call& call) {
    cxxopts::Options options{"rattanmount timeline",
                             "Shows the events that the entry hosts still keep, in one order. Asks the hosts "
                             "that are named and all that they know as live; with --json as JSON lines."};
    add_filter_options(options);
    add_cell_options(options);
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const auto events = telemetry::filter_events(read_events(call, cell),
                                                 {.job = text_of(*parsed, "job"),
                                                  .worker = core::worker_id{text_of(*parsed, "worker")},
                                                  .host = core::host_id{text_of(*parsed, "host")}});
    const auto trace = text_of(*parsed, "trace");
    if (!trace.empty()) {
        write_trace(trace, events);
    } else {
        call.hooks.print(cell.json ? telemetry::to_json_lines(events) : telemetry::format_text(events));
    }
    return exit_code::ok;
}

} // namespace rattanmount::app
