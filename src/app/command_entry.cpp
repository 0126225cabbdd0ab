#include "app/command_entry.h"

#include "core/errors.h"
#include "settings/settings_reader.h"

namespace rattanmount::app {

exit_code run_entry(const command_call& call) {
    cxxopts::Options options{"rattanmount entry", "Runs an entry host until it is stopped by a signal."};
    options.add_options()("settings", "the file of settings; docs/SETTINGS.md describes it",
                          cxxopts::value<std::string>(), "FILE");
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto settings = settings::read_settings_file(required_text(*parsed, "settings"));
    if (!call.hooks.run_entry) {
        throw core::error("this program was built without support for the command entry");
    }
    return static_cast<exit_code>(call.hooks.run_entry(settings));
}

} // namespace rattanmount::app
