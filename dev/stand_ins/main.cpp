#include "core/duration_text.h"
#include "core/errors.h"
#include "stand_ins/stand_ins.h"

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace {

using namespace rattanmount;

constexpr int exit_usage = 2;

cxxopts::Options make_options() {
    cxxopts::Options options{"rattanmount-stand-in", "Stands in for one service of the platform, for tests"};
    auto add = options.add_options();
    add("role", "log, fleet, workers or executors", cxxopts::value<std::string>());
    add("port", "on the loopback address; 0 picks one", cxxopts::value<std::uint16_t>()->default_value("0"));
    add("retention-entries", "log: entries kept in a stream; 0: all",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("retention", "log: how long entries are kept, such as 60s or 500ms; 0s: for ever",
        cxxopts::value<std::string>()->default_value("0s"));
    add("file", "fleet: the list to begin with", cxxopts::value<std::string>());
    add("names", "workers, executors: their names", cxxopts::value<std::vector<std::string>>());
    add("millicores", "workers: each", cxxopts::value<std::int64_t>()->default_value("16000"));
    add("memory-mb", "workers: each", cxxopts::value<std::int64_t>()->default_value("65536"));
    add("accelerators", "workers: each", cxxopts::value<std::int64_t>()->default_value("0"));
    add("hold", "workers: how long tasks run on after the lease lapsed",
        cxxopts::value<std::string>()->default_value("10s"));
    add("usage-lag", "workers: how long a task runs before its use is reported",
        cxxopts::value<std::string>()->default_value("1s"));
    add("slots", "executors: requests at once", cxxopts::value<std::size_t>()->default_value("8"));
    add("connections", "executors: connections at once", cxxopts::value<std::size_t>()->default_value("64"));
    add("rack", "accepted and not used; the fleet list tells racks", cxxopts::value<std::string>());
    add("data-centre", "accepted and not used; the fleet list tells data centres",
        cxxopts::value<std::string>());
    add("service", "accepted and not used; the fleet list tells services", cxxopts::value<std::string>());
    add("help", "show this");
    options.parse_positional({"role"});
    options.positional_help("ROLE");
    return options;
}

std::string read_file(const std::string& name) {
    std::ifstream file{name};
    if (!file) {
        throw core::invalid_argument("cannot read '" + name + "'");
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

sigset_t termination_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void serve(const cxxopts::ParseResult& arguments, stand_ins::role_hooks role, stand_ins::journal& events,
           stand_ins::fault_injector& faults) {
    stand_ins::stand_in_server server{
        {.port = arguments["port"].as<std::uint16_t>()}, std::move(role), events, faults};
    std::cout << "listening " << server.port() << std::endl;
    const auto signals = termination_signals();
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
}

void run(const cxxopts::ParseResult& arguments) {
    stand_ins::journal events;
    stand_ins::fault_injector faults;
    const auto name = arguments["role"].as<std::string>();
    if (name == "log") {
        stand_ins::log_role role{
            {.retention_entries = arguments["retention-entries"].as<std::size_t>(),
             .retention = core::parse_duration(arguments["retention"].as<std::string>())},
            events};
        serve(arguments, role.hooks(), events, faults);
    } else if (name == "fleet") {
        stand_ins::fleet_role role{events, faults};
        if (arguments.count("file") > 0) {
            role.put(read_file(arguments["file"].as<std::string>()));
        }
        serve(arguments, role.hooks(), events, faults);
    } else if (name == "workers") {
        stand_ins::workers_role role{
            {.names = arguments["names"].as<std::vector<std::string>>(),
             .capacity = {.millicores = arguments["millicores"].as<std::int64_t>(),
                          .memory_mb = arguments["memory-mb"].as<std::int64_t>(),
                          .accelerators = arguments["accelerators"].as<std::int64_t>()},
             .task_hold = core::parse_duration(arguments["hold"].as<std::string>()),
             .usage_lag = core::parse_duration(arguments["usage-lag"].as<std::string>())},
            events,
            faults};
        serve(arguments, role.hooks(), events, faults);
    } else if (name == "executors") {
        stand_ins::executors_role role{{.names = arguments["names"].as<std::vector<std::string>>(),
                                        .slots = arguments["slots"].as<std::size_t>(),
                                        .connections = arguments["connections"].as<std::size_t>()},
                                       events,
                                       faults};
        serve(arguments, role.hooks(), events, faults);
    } else {
        throw core::invalid_argument("unknown role '" + name +
                                     "': expected log, fleet, workers or executors");
    }
}

} // namespace

int main(int argc, char** argv) {
    // Blocked before any thread starts, so that only sigwait() in serve() receives the signals.
    const auto signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        auto options = make_options();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("role") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : exit_usage;
        }
        run(arguments);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}
