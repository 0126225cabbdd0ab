#include "app/entry_host.h"
#include "settings/settings.h"

#include <exception>
#include <iostream>
#include <string>

int main(int argc, char** argv) {
    if (argc != 4 || std::string{argv[1]} != "entry" || std::string{argv[2]} != "--settings") {
        std::cerr << "usage: rattanmount entry --settings FILE\n";
        return 2;
    }
    try {
        const auto settings = rattanmount::settings::read_settings_file(argv[3]);
        rattanmount::telemetry::configure_logging(settings.log);
        return rattanmount::app::run_entry_host(settings);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
