#include "app/command_trace.h"

#include "core/errors.h"
#include "telemetry/job_history.h"

namespace rattanmount::app {

exit_code run_trace(const command_call& call) {
    cxxopts::Options options{
        "rattanmount trace",
        "Prints what the collected logs of all hosts tell of one job, in the order of time, "
        "and says what is missing."};
    options.add_options()("job", "the job's id", cxxopts::value<std::string>(),
                          "ID")("logs", "files with the hosts' standard output, separated by commas",
                                cxxopts::value<std::vector<std::string>>(), "FILE[,FILE]");
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto job = required_text(*parsed, "job");
    if (parsed->count("logs") == 0) {
        throw core::invalid_argument("--logs: name the files to read");
    }
    std::vector<std::string> logs;
    for (const auto& path : (*parsed)["logs"].as<std::vector<std::string>>()) {
        logs.push_back(read_file(path));
    }
    const auto story = telemetry::collect_job_history(job, logs);
    for (const auto& line : story.lines) {
        call.hooks.print(line + "\n");
    }
    for (const auto& sentence : story.missing) {
        call.hooks.print("missing: " + sentence + "\n");
    }
    return story.lines.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace rattanmount::app
