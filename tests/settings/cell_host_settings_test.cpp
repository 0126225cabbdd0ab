#include "core/errors.h"
#include "settings/cell_host_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace rattanmount;
using namespace std::chrono_literals;

namespace {

nlohmann::json complete_settings() {
    return {{"host", "edge-1"},
            {"data_centre", "suva"},
            {"listen", {{"callers", "10.0.0.1:1"}, {"ready", "10.0.0.1:2"}, {"peers", "10.0.0.1:3"}}},
            {"log", {{"address", "10.0.0.9:4"}, {"stream", "cell"}}},
            {"advisor", "10.0.0.9:5"},
            {"workers", {{"longest_lease_ms", 6000}, {"stop_time_ms", 400}}},
            {"shutdown_grace_s", 6.5},
            {"logs", {{"level", "info"}, {"format", "text"}}}};
}

std::string parse_error_of(const nlohmann::json& settings) {
    try {
        static_cast<void>(settings::parse_cell_host_settings(settings.dump()));
        return "";
    } catch (const core::invalid_argument& error) {
        return error.what();
    }
}

} // namespace

TEST_CASE("the settings of a cell host are parsed, including comments") {
    const auto settings = settings::parse_cell_host_settings("// a comment\n" + complete_settings().dump());
    CHECK(settings.host == core::host_id{"edge-1"});
    CHECK(settings.listen.peers.port == 3);
    CHECK(settings.advisor->port == 5);
    CHECK(settings.workers.longest_lease == 6000ms);
    CHECK(settings.shutdown_grace == 6500ms);
}

TEST_CASE("the limits of the log are those of the settings, or the platform's usual ones") {
    auto settings = complete_settings();
    CHECK(settings::parse_cell_host_settings(settings.dump()).log.max_record_bytes == 262144);
    CHECK(settings::parse_cell_host_settings(settings.dump()).log.max_request_bytes == 2097152);
    settings["log"]["max_record_bytes"] = 100000;
    settings["log"]["max_request_bytes"] = 300000;
    CHECK(settings::parse_cell_host_settings(settings.dump()).log.max_record_bytes == 100000);
    CHECK(settings::parse_cell_host_settings(settings.dump()).log.max_request_bytes == 300000);
    settings["log"]["max_record_bytes"] = 300001;
    CHECK_THAT(parse_error_of(settings), Catch::Contains("log.max_request_bytes: must not be less"));
    settings["log"]["max_record_bytes"] = 100;
    CHECK_THAT(parse_error_of(settings), Catch::Contains("log.max_record_bytes: must be from 4096"));
}

TEST_CASE("the maximum age of the configuration is the one in the settings, or 2 s") {
    auto settings = complete_settings();
    CHECK(settings::parse_cell_host_settings(settings.dump()).max_configuration_age == 2s);
    settings["max_configuration_age_ms"] = 3000;
    CHECK(settings::parse_cell_host_settings(settings.dump()).max_configuration_age == 3s);
    settings["max_configuration_age_ms"] = 100;
    CHECK_THAT(parse_error_of(settings), Catch::Contains("max_configuration_age_ms: must be at least 200"));
}

TEST_CASE("an empty advisor address means that there is no advisory service") {
    auto settings = complete_settings();
    settings["advisor"] = "";
    CHECK_FALSE(settings::parse_cell_host_settings(settings.dump()).advisor);
}

TEST_CASE("an error in the settings of a cell host names the key") {
    const auto with = [](const std::string& pointer, const nlohmann::json& value) {
        auto settings = complete_settings();
        settings[nlohmann::json::json_pointer{pointer}] = value;
        return parse_error_of(settings);
    };
    CHECK_THAT(with("/hots", 1), Catch::Contains("hots: there is no such setting"));
    CHECK_THAT(with("/listen/peer", 1), Catch::Contains("listen.peer"));
    CHECK_THAT(with("/listen/callers", "nowhere"), Catch::Contains("listen.callers"));
    CHECK_THAT(with("/host", ""), Catch::Contains("host"));
    CHECK_THAT(with("/shutdown_grace_s", -1), Catch::Contains("shutdown_grace_s"));
    CHECK_THAT(with("/workers/stop_time_ms", "soon"), Catch::Contains("workers.stop_time_ms"));
    auto missing = complete_settings();
    missing.erase("log");
    CHECK_THAT(parse_error_of(missing), Catch::Contains("log: is missing"));
    CHECK_THROWS_AS(settings::parse_cell_host_settings("{"), core::invalid_argument);
}

TEST_CASE("the documentation of the platform settings lists every key") {
    std::ifstream file{RATTANMOUNT_SOURCE_FOLDER "/docs/PLATFORM-SETTINGS.md"};
    const std::string page{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    const auto flat = complete_settings().flatten();
    for (const auto& [pointer, value] : flat.items()) {
        auto key = pointer.substr(1);
        std::replace(key.begin(), key.end(), '/', '.');
        CAPTURE(key);
        CHECK(page.find("`" + key + "`") != std::string::npos);
    }
}
