#include "telemetry/job_history.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <utility>

namespace rattanmount::telemetry {

namespace {

/// @return whether a field of the line names exactly this job: "job=ID", "task=ID.0.1.2" or "step=ID.0.1".
bool names_job(const std::string& line, const std::string& job) {
    for (auto place = line.find("=" + job); place != std::string::npos;
         place = line.find("=" + job, place + 1)) {
        const auto end = place + 1 + job.size();
        if (end == line.size() || line[end] == '.' ||
            std::isspace(static_cast<unsigned char>(line[end])) != 0) {
            return true;
        }
    }
    return false;
}

std::string time_of(const std::string& line) {
    constexpr std::string_view field = "time=";
    const auto place = line.find(field);
    return place == std::string::npos ? "" : line.substr(place + field.size(), line.find(' ', place) - place);
}

bool contains_event(const std::vector<std::string>& lines, const std::string& what) {
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
        return line.find("what=\"" + what + "\"") != std::string::npos;
    });
}

} // namespace

job_history collect_job_history(const std::string& job, const std::vector<std::string>& logs) {
    std::vector<std::pair<std::string, std::string>> found;
    for (const auto& log : logs) {
        std::istringstream stream{log};
        for (std::string line; std::getline(stream, line);) {
            if (names_job(line, job)) {
                found.emplace_back(time_of(line), line);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    job_history history;
    for (auto& [time, line] : found) {
        history.lines.push_back(std::move(line));
    }
    const auto expect = [&history](const std::string& what, const std::string& explanation) {
        if (!contains_event(history.lines, what)) {
            history.missing.push_back(explanation);
        }
    };
    expect("job submitted",
           "no submission: the host that received it stopped before it answered, or its log is missing");
    expect("start",
           "no task start: the job waited for advice or for free capacity, or the leader's log is missing");
    if (!contains_event(history.lines, "job over") && !contains_event(history.lines, "job cancelled")) {
        history.missing.emplace_back(
            "no end: the job is still running, or the log of the host that led when it ended is missing");
    }
    return history;
}

} // namespace rattanmount::telemetry
