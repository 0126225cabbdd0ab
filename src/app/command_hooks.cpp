#include "app/command_hooks.h"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

namespace rattanmount::app {

command_hooks make_process_hooks(std::function<int(const settings::host_settings&)> run_entry,
                                 std::function<int(const settings::cell_host_settings&)> run_serve) {
    return {.run_entry = std::move(run_entry),
            .run_serve = std::move(run_serve),
            .environment =
                [](const std::string& name) {
                    const char* const value = std::getenv(name.c_str());
                    return std::string{value == nullptr ? "" : value};
                },
            .print = [](std::string_view text) { std::cout << text << std::flush; },
            .print_error = [](std::string_view text) { std::cerr << text << std::flush; },
            .now = [] { return std::chrono::steady_clock::now(); },
            .sleep = [](core::milliseconds time) { std::this_thread::sleep_for(time); }};
}

} // namespace rattanmount::app
