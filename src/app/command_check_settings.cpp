#include "app/command_check_settings.h"

#include "settings/settings_error.h"
#include "settings/settings_reader.h"

#include <nlohmann/json.hpp>

namespace rattanmount::app {

namespace {

std::string to_json(const std::vector<settings::fault>& faults) {
    auto list = nlohmann::ordered_json::array();
    for (const auto& each : faults) {
        list.push_back({{"place", each.place}, {"message", each.message}});
    }
    return nlohmann::ordered_json{{"faults", list}}.dump() + "\n";
}

} // namespace

exit_code run_check_settings(const command_call& call) {
    cxxopts::Options options{"rattanmount check-settings", "Tells every fault of a file of settings."};
    options.add_options()("json", "print JSON");
    options.add_options("hidden")("file", "the file", cxxopts::value<std::string>());
    options.parse_positional("file");
    options.positional_help("FILE");
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const bool json = parsed->count("json") > 0;
    const auto path = required_text(*parsed, "file");
    try {
        static_cast<void>(settings::read_settings_file(path));
    } catch (const settings::settings_error& error) {
        call.hooks.print(json ? to_json(error.faults()) : std::string{error.what()} + "\n");
        return exit_code::invalid;
    }
    call.hooks.print(json ? to_json({}) : path + ": no faults\n");
    return exit_code::ok;
}

} // namespace rattanmount::app
