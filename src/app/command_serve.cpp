#include "app/command_serve.h"

#include "core/errors.h"
#include "settings/cell_host_settings.h"

namespace rattanmount::app {

exit_code run_serve(const command_call& call) {
    cxxopts::Options options{"rattanmount serve",
                             "Runs a host of a cell on the users' platform until it is stopped by a signal."};
    options.add_options()("settings", "the file of settings; docs/PLATFORM-SETTINGS.md describes it",
                          cxxopts::value<std::string>(), "FILE");
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto settings = settings::read_cell_host_settings(required_text(*parsed, "settings"));
    if (!call.hooks.run_serve) {
        throw core::error("this program was built without support for the command serve");
    }
    return static_cast<exit_code>(call.hooks.run_serve(settings));
}

} // namespace rattanmount::app
