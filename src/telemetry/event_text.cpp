#include "telemetry/event_text.h"

#include "core/errors.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace rattanmount::telemetry {

namespace {

using nlohmann::ordered_json;

ordered_json to_json(const event& each) {
    ordered_json line{{"at", each.at.text()},
                      {"host", each.host.value()},
                      {"incarnation", each.incarnation.value()},
                      {"kind", to_string(each.kind)}};
    const auto add = [&line](const char* key, const std::string& value) {
        if (!value.empty()) {
            line[key] = value;
        }
    };
    add("job", each.about.job);
    add("worker", each.about.worker.value());
    if (each.about.shard) {
        line["shard"] = each.about.shard->value();
    }
    add("detail", each.about.detail);
    return line;
}

event from_json(const nlohmann::json& line) {
    event each{.at = core::hybrid_time::parse(line.at("at").get<std::string>()),
               .host = core::host_id{line.at("host").get<std::string>()},
               .incarnation = core::incarnation_id{line.at("incarnation").get<std::string>()},
               .kind = parse_event_kind(line.at("kind").get<std::string>()),
               .about = {.job = line.value("job", ""),
                         .worker = core::worker_id{line.value("worker", "")},
                         .shard = std::nullopt,
                         .detail = line.value("detail", "")}};
    if (line.contains("shard")) {
        each.about.shard = core::shard_id{line.at("shard").get<std::uint64_t>()};
    }
    return each;
}

event parse_line(std::string_view line, std::size_t number) {
    try {
        return from_json(nlohmann::json::parse(line));
    } catch (const nlohmann::json::exception& error) {
        throw core::invalid_argument("line " + std::to_string(number) + " is no event: " + error.what());
    } catch (const core::invalid_argument& error) {
        throw core::invalid_argument("line " + std::to_string(number) + " is no event: " + error.what());
    }
}

} // namespace

std::string to_json_lines(const std::vector<event>& events) {
    std::string text;
    for (const auto& each : events) {
        // Text from callers may contain arbitrary bytes; those that are not valid UTF-8 are replaced.
        text += to_json(each).dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
    }
    return text;
}

std::vector<event> parse_json_lines(std::string_view text) {
    std::vector<event> events;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.find_first_not_of(" \t\r") != std::string_view::npos) {
            events.push_back(parse_line(line, number));
        }
    }
    return events;
}

std::string format_text(const std::vector<event>& events) {
    std::string text;
    for (const auto& each : events) {
        text += fmt::format("{:<30} {:<12} {:<18}", each.at.text(), each.host.value(), to_string(each.kind));
        const auto& about = each.about;
        text += about.job.empty() ? "" : " job=" + about.job;
        text += about.worker.empty() ? "" : " worker=" + about.worker.value();
        text += about.shard ? " shard=" + std::to_string(about.shard->value()) : "";
        text += about.detail.empty() ? "" : " " + about.detail;
        text.erase(text.find_last_not_of(' ') + 1);
        text += '\n';
    }
    return text;
}

} // namespace rattanmount::telemetry
