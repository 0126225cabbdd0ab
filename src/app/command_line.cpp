#include "app/command_line.h"

#include "app/command_cancel.h"
#include "app/command_check_settings.h"
#include "app/command_entry.h"
#include "app/command_explain.h"
#include "app/command_explain_placement.h"
#include "app/command_hosts.h"
#include "app/command_metrics.h"
#include "app/command_note.h"
#include "app/command_quick.h"
#include "app/command_serve.h"
#include "app/command_status.h"
#include "app/command_submit.h"
#include "app/command_timeline.h"
#include "app/command_trace.h"
#include "app/exit_code.h"
#include "core/errors.h"

#include <algorithm>
#include <array>
#include <string>

namespace rattanmount::app {

namespace {

/// One command of the program.
struct command {
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(const command_call&);
};

constexpr std::array commands{
    command{"entry", "run an entry host", run_entry},
    command{"serve", "run a host of a cell on the platform", run_serve},
    command{"check-settings", "check a file of settings", run_check_settings},
    command{"submit", "submit a job", run_submit},
    command{"status", "tell where a job stands", run_status},
    command{"cancel", "cancel a job", run_cancel},
    command{"explain", "tell what a job waits for", run_explain},
    command{"explain-placement", "tell where a job would go, without submitting it", run_explain_placement},
    command{"quick", "send a quick request and wait for its answer", run_quick},
    command{"note", "apply a release note, or show the policies in force", run_note},
    command{"hosts", "list the entry hosts", run_hosts},
    command{"timeline", "show the events of all entry hosts in one order", run_timeline},
    command{"trace", "follow one job through the collected logs of all hosts", run_trace},
    command{"metrics", "show the counters of an entry host", run_metrics},
};

std::string help() {
    constexpr std::size_t name_width = 20;
    std::string text =
        "rattanmount: a cluster scheduler\n\nUsage:\n  rattanmount COMMAND [OPTION...]\n\nCommands:\n";
    for (const auto& each : commands) {
        std::string name{each.name};
        name.resize(name_width, ' ');
        text += "  " + name + std::string{each.summary} + "\n";
    }
    text += "\n'rattanmount COMMAND --help' tells more.\n\n";
    return text + std::string{exit_code_help};
}

/// Runs a command, prints its error if it throws, and converts the error to an exit code.
exit_code run_guarded(const command& chosen, const command_call& call) {
    const auto print_error = [&](const std::exception& error) {
        call.hooks.print_error("rattanmount " + std::string{chosen.name} + ": " + error.what() + "\n");
    };
    try {
        return chosen.run(call);
    } catch (const core::invalid_argument& error) {
        print_error(error);
        return exit_code::invalid;
    } catch (const core::unavailable& error) {
        print_error(error);
        return exit_code::unreachable;
    } catch (const core::outcome_unknown& error) {
        print_error(error);
        return exit_code::unsettled;
    } catch (const std::exception& error) {
        print_error(error);
        return exit_code::failed;
    }
}

exit_code run_named(const std::string& name, const command_call& call) {
    if (name == "--help" || name == "-h" || name == "help") {
        call.hooks.print(help());
        return exit_code::ok;
    }
    const auto* const chosen = std::find_if(commands.begin(), commands.end(),
                                            [&](const command& each) { return each.name == name; });
    if (chosen == commands.end()) {
        call.hooks.print_error("rattanmount: there is no command '" + name + "'; see rattanmount --help\n");
        return exit_code::invalid;
    }
    return run_guarded(*chosen, call);
}

} // namespace

int run_command(int argc, const char* const* argv, const command_hooks& hooks) {
    constexpr int first_argument = 2;
    if (argc < first_argument) {
        hooks.print_error(help());
        return static_cast<int>(exit_code::invalid);
    }
    command_call call{.arguments = {}, .hooks = hooks};
    call.arguments.assign(argv + first_argument, argv + argc);
    return static_cast<int>(run_named(argv[1], call));
}

} // namespace rattanmount::app
