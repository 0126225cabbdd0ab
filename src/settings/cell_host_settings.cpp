#include "settings/cell_host_settings.h"

#include "core/errors.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace rattanmount::settings {

namespace {

using nlohmann::json;

/// Range of the limits of the log.
constexpr std::int64_t least_log_bytes = 4096;
constexpr std::int64_t most_log_bytes = 1'073'741'824;
/// With less, the configuration would count as old between two reads.
constexpr core::milliseconds least_configuration_age{200};

/// Reads the values of one JSON object and detects keys that it does not know.
///
/// Created by parse_cell_host_settings(); used by one thread. The object must outlive it.
class object_reader {
public:
    object_reader(const json& object, std::string path) : object(object), path(std::move(path)) {
        if (!object.is_object()) {
            throw core::invalid_argument(this->path + ": must be an object");
        }
    }

    [[nodiscard]] std::string text(const std::string& key) {
        const auto& value = this->required(key);
        if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
            throw core::invalid_argument(this->path_of(key) + ": must be a text that is not empty");
        }
        return value.get<std::string>();
    }

    [[nodiscard]] core::endpoint endpoint(const std::string& key) {
        try {
            return core::endpoint::parse(this->text(key));
        } catch (const core::invalid_argument& error) {
            throw core::invalid_argument(this->path_of(key) + ": " + error.what());
        }
    }

    [[nodiscard]] std::optional<core::endpoint> optional_endpoint(const std::string& key) {
        this->known_keys.insert(key);
        const auto found = this->object.find(key);
        const bool missing = found == this->object.end() || found->is_null() ||
                             (found->is_string() && found->get_ref<const std::string&>().empty());
        return missing ? std::nullopt : std::optional{this->endpoint(key)};
    }

    [[nodiscard]] core::milliseconds milliseconds(const std::string& key, core::milliseconds default_value) {
        constexpr double unit_ms = 1;
        return this->duration(key, default_value, unit_ms);
    }

    [[nodiscard]] core::milliseconds seconds(const std::string& key, core::milliseconds default_value) {
        constexpr double unit_ms = 1000;
        return this->duration(key, default_value, unit_ms);
    }

    [[nodiscard]] double number(const std::string& key, double default_value) {
        this->known_keys.insert(key);
        const auto found = this->object.find(key);
        if (found == this->object.end()) {
            return default_value;
        }
        if (!found->is_number() || found->get<double>() < 0) {
            throw core::invalid_argument(this->path_of(key) + ": must be a number, 0 or more");
        }
        return found->get<double>();
    }

    [[nodiscard]] std::size_t bytes(const std::string& key, std::size_t default_value) {
        const auto value = this->number(key, static_cast<double>(default_value));
        if (value < least_log_bytes || value > most_log_bytes) {
            throw core::invalid_argument(this->path_of(key) + ": must be from " +
                                         std::to_string(least_log_bytes) + " to " +
                                         std::to_string(most_log_bytes));
        }
        return static_cast<std::size_t>(value);
    }

    [[nodiscard]] object_reader object_at(const std::string& key) {
        return {this->required(key), this->path_of(key)};
    }

    [[nodiscard]] std::optional<object_reader> optional_object(const std::string& key) {
        this->known_keys.insert(key);
        return this->object.contains(key) ? std::optional{this->object_at(key)} : std::nullopt;
    }

    /// @throws core::invalid_argument if the object has a key that has not been looked up.
    void reject_unknown_keys() const {
        for (const auto& [key, value] : this->object.items()) {
            if (!this->known_keys.contains(key)) {
                throw core::invalid_argument(this->path_of(key) + ": there is no such setting");
            }
        }
    }

private:
    [[nodiscard]] core::milliseconds duration(const std::string& key, core::milliseconds default_value,
                                              double unit_ms) {
        this->known_keys.insert(key);
        const auto found = this->object.find(key);
        if (found == this->object.end()) {
            return default_value;
        }
        return core::milliseconds{std::llround(this->number(key, 0) * unit_ms)};
    }

    [[nodiscard]] std::string path_of(const std::string& key) const {
        return this->path.empty() ? key : this->path + "." + key;
    }

    [[nodiscard]] const json& required(const std::string& key) {
        this->known_keys.insert(key);
        const auto found = this->object.find(key);
        if (found == this->object.end()) {
            throw core::invalid_argument(this->path_of(key) + ": is missing");
        }
        return *found;
    }

    const json& object;
    std::string path;
    std::set<std::string> known_keys;
};

} // namespace

cell_host_settings parse_cell_host_settings(const std::string& text) {
    constexpr bool throw_on_errors = true;
    constexpr bool skip_comments = true;
    json document;
    try {
        document = json::parse(text, nullptr, throw_on_errors, skip_comments);
    } catch (const json::exception& error) {
        throw core::invalid_argument(std::string{"the settings are not valid JSON: "} + error.what());
    }
    object_reader root{document, ""};
    cell_host_settings settings{.host = core::host_id{root.text("host")},
                                .data_centre = core::data_centre_id{root.text("data_centre")}};
    auto listen = root.object_at("listen");
    settings.listen = {.callers = listen.endpoint("callers"),
                       .ready = listen.endpoint("ready"),
                       .peers = listen.endpoint("peers"),
                       .metrics = listen.optional_endpoint("metrics")};
    listen.reject_unknown_keys();
    auto log = root.object_at("log");
    settings.log = {.address = log.endpoint("address"),
                    .stream = log.text("stream"),
                    .max_record_bytes = log.bytes("max_record_bytes", settings.log.max_record_bytes),
                    .max_request_bytes = log.bytes("max_request_bytes", settings.log.max_request_bytes)};
    if (settings.log.max_request_bytes < settings.log.max_record_bytes) {
        throw core::invalid_argument("log.max_request_bytes: must not be less than log.max_record_bytes");
    }
    log.reject_unknown_keys();
    settings.advisor = root.optional_endpoint("advisor");
    if (auto workers = root.optional_object("workers")) {
        settings.workers = {.longest_lease =
                                workers->milliseconds("longest_lease_ms", settings.workers.longest_lease),
                            .stop_time = workers->milliseconds("stop_time_ms", settings.workers.stop_time)};
        workers->reject_unknown_keys();
    }
    settings.max_configuration_age =
        root.milliseconds("max_configuration_age_ms", settings.max_configuration_age);
    if (settings.max_configuration_age < least_configuration_age) {
        throw core::invalid_argument("max_configuration_age_ms: must be at least " +
                                     std::to_string(least_configuration_age.count()));
    }
    settings.processor_share = root.number("processor_share", settings.processor_share);
    settings.link_mbps = root.number("link_mbps", settings.link_mbps);
    settings.shutdown_grace = root.seconds("shutdown_grace_s", settings.shutdown_grace);
    if (auto logs = root.optional_object("logs")) {
        settings.logs = {.level = telemetry::parse_log_level(logs->text("level")),
                         .format = telemetry::parse_log_format(logs->text("format"))};
        logs->reject_unknown_keys();
    }
    root.reject_unknown_keys();
    return settings;
}

cell_host_settings read_cell_host_settings(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        throw core::invalid_argument("the settings file '" + path + "' cannot be read");
    }
    return parse_cell_host_settings({std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}});
}

} // namespace rattanmount::settings
