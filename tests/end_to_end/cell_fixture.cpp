#include "tests/end_to_end/cell_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <stdexcept>
#include <thread>

namespace rattanmount::tests {

namespace {

constexpr int data_centres = 2;
const std::string binary_folder = RATTANMOUNT_BINARY_FOLDER;
const std::string stand_in_program = binary_folder + "/rattanmount-stand-in";
const std::string entry_program = binary_folder + "/rattanmount";

std::string data_centre_name(int number) {
    return "suva-" + std::to_string(number + 1);
}

/// Returns a free port below the ephemeral range, so that no socket bound to port 0 takes it before the entry
/// host starts. The first port depends on the process id, so that concurrent test runs use different ports.
int free_port() {
    constexpr int first = 10000;
    constexpr int count = 20000;
    static int next = static_cast<int>(Poco::Process::id()) * 97 % count;
    while (true) {
        const int port = first + next;
        next = (next + 1) % count;
        try {
            const Poco::Net::ServerSocket socket{
                Poco::Net::SocketAddress{"127.0.0.1", static_cast<Poco::UInt16>(port)}};
            return port;
        } catch (const Poco::Net::NetException&) {
            continue;
        }
    }
}

std::string loopback_address(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string duration_text(std::chrono::milliseconds time) {
    return std::to_string(time.count()) + "ms";
}

void append_journal(std::vector<nlohmann::json>& all, const std::string& name, int port) {
    const auto result = http("GET", port, "/journal?from=0");
    if (result.status != 200) {
        return;
    }
    for (auto item : result.body.is_array() ? result.body : result.body.at("entries")) {
        item["at_process"] = name;
        all.push_back(item);
    }
}

} // namespace

std::string text_of(const nlohmann::json& object, const std::string& field) {
    const bool present = object.is_object() && object.contains(field) && object.at(field).is_string();
    return present ? object.at(field).get<std::string>() : "";
}

std::string http_result::text(const std::string& field) const {
    return text_of(this->body, field);
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return true;
}

http_result http(const std::string& method, int port, const std::string& path, const std::string& body,
                 std::chrono::milliseconds limit) {
    try {
        Poco::Net::HTTPClientSession session{"127.0.0.1", static_cast<Poco::UInt16>(port)};
        session.setTimeout(
            Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(limit).count()});
        Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        http_result result{.status = response.getStatus()};
        result.body = nlohmann::json::parse(text, nullptr, false);
        if (result.body.is_discarded()) {
            result.body = text;
        }
        return result;
    } catch (const Poco::Exception&) {
        return {};
    }
}

cell_fixture::cell_fixture(cell_fixture_options options) : options(options) {
    Poco::TemporaryFile file;
    file.keepUntilExit();
    file.createDirectories();
    this->folder = file.path();
    this->host_processes.resize(static_cast<std::size_t>(this->options.hosts));
    for (int index = 0; index < this->options.hosts; ++index) {
        this->front_ports.push_back(free_port());
        this->inner_ports.push_back(free_port());
    }
    this->start_platform();
    this->publish_fleet();
    for (int index = 0; index < this->options.hosts; ++index) {
        this->start_host(index);
    }
}

cell_fixture::~cell_fixture() = default;

void cell_fixture::start_platform() {
    this->log_process =
        std::make_unique<process>(stand_in_program, std::vector<std::string>{"log", "--port", "0"});
    this->log = this->log_process->listening_port();
    this->fleet_process =
        std::make_unique<process>(stand_in_program, std::vector<std::string>{"fleet", "--port", "0"});
    this->fleet = this->fleet_process->listening_port();
    for (int centre = 0; centre < data_centres; ++centre) {
        for (int number = 0; number < this->options.workers_per_data_centre; ++number) {
            const auto name = "w" + std::to_string(centre + 1) + std::to_string(number + 1);
            auto started = std::make_unique<process>(
                stand_in_program,
                std::vector<std::string>{
                    "workers", "--port", "0", "--names", name, "--rack", "rack-" + std::to_string(centre + 1),
                    "--data-centre", data_centre_name(centre), "--millicores", "8000", "--memory-mb", "16384",
                    "--accelerators", "0", "--hold", duration_text(this->options.task_hold)});
            this->worker_ports[name] = started->listening_port();
            this->worker_processes[name] = std::move(started);
        }
        for (int number = 0; number < this->options.executors_per_data_centre; ++number) {
            const auto name = "e" + std::to_string(centre + 1) + std::to_string(number + 1);
            auto started = std::make_unique<process>(
                stand_in_program,
                std::vector<std::string>{"executors", "--port", "0", "--names", name, "--rack",
                                         "rack-" + std::to_string(centre + 1), "--data-centre",
                                         data_centre_name(centre), "--service", "templates", "--slots", "8",
                                         "--connections", "64"});
            this->executor_ports[name] = started->listening_port();
            this->executor_processes[name] = std::move(started);
        }
    }
}

void cell_fixture::publish_fleet() {
    nlohmann::json list{{"version", 1}};
    for (int index = 0; index < this->options.hosts; ++index) {
        list["entry_hosts"].push_back(
            {{"name", "entry-" + std::to_string(index + 1)},
             {"inner", loopback_address(this->inner_ports[static_cast<std::size_t>(index)])},
             {"data_centre", data_centre_name(index % data_centres)},
             {"state", "live"}});
    }
    for (const auto& [name, port] : this->worker_ports) {
        const int centre = name[1] - '1';
        list["workers"].push_back({{"name", name},
                                   {"address", loopback_address(port) + "/workers/" + name},
                                   {"data_centre", data_centre_name(centre)},
                                   {"rack", "rack-" + std::to_string(centre + 1)},
                                   {"millicores", 8000},
                                   {"memory_mb", 16384},
                                   {"accelerators", 0},
                                   {"state", "live"}});
    }
    for (const auto& [name, port] : this->executor_ports) {
        const int centre = name[1] - '1';
        list["executors"].push_back({{"name", name},
                                     {"address", loopback_address(port) + "/executors/" + name},
                                     {"data_centre", data_centre_name(centre)},
                                     {"rack", "rack-" + std::to_string(centre + 1)},
                                     {"service", "templates"},
                                     {"slots", 8},
                                     {"connections", 64},
                                     {"state", "live"}});
    }
    if (http("PUT", this->fleet, "/fleet", list.dump()).status / 100 != 2) {
        throw std::runtime_error("the fleet stand-in rejected the fleet list");
    }
}

std::string cell_fixture::settings_json(int index) const {
    const auto at = static_cast<std::size_t>(index);
    nlohmann::json settings;
    settings["host"] = {{"name", "entry-" + std::to_string(index + 1)},
                        {"data_centre", data_centre_name(index % data_centres)},
                        {"inner", loopback_address(this->inner_ports[at])},
                        {"front", loopback_address(this->front_ports[at])}};
    settings["cell"] = {
        {"regions", {{{"name", "fiji"}, {"data_centres", {data_centre_name(0), data_centre_name(1)}}}}},
        {"shards", this->options.shards}};
    settings["platform"]["log"] = {{"address", loopback_address(this->log)}, {"timeout", "500ms"}};
    settings["platform"]["fleet"] = {{"address", loopback_address(this->fleet)}, {"interval", "500ms"}};
    settings["platform"]["workers"] = {{"lease_term", duration_text(this->options.lease_term)},
                                       {"renew_interval", "500ms"},
                                       {"task_hold", duration_text(this->options.task_hold)},
                                       {"timeout", "500ms"}};
    settings["membership"] = {
        {"heartbeat_interval", "300ms"}, {"suspect_after", "1500ms"}, {"startup_wait", "1s"}};
    settings["log"] = {{"level", "error"}};
    return settings.dump(2);
}

void cell_fixture::start_host(int index) {
    const auto path = this->folder + "/entry-" + std::to_string(index + 1) + ".json";
    std::ofstream{path} << this->settings_json(index);
    this->host_processes[static_cast<std::size_t>(index)] =
        std::make_unique<process>(entry_program, std::vector<std::string>{"entry", "--settings", path});
}

int cell_fixture::front_port(int index) const {
    return this->front_ports.at(static_cast<std::size_t>(index));
}

void cell_fixture::wait_until_serving() {
    const bool serving = wait_until(
        [this] {
            const auto result = http("GET", this->front_port(0), "/v1/hosts");
            if (result.status != 200) {
                return false;
            }
            std::size_t owned = 0;
            int live = 0;
            for (const auto& host : result.body.is_array() ? result.body : result.body.at("hosts")) {
                owned += host.at("shards").size();
                live += host.at("live").get<bool>() ? 1 : 0;
            }
            return live == this->options.hosts && owned == static_cast<std::size_t>(this->options.shards);
        },
        std::chrono::seconds{20});
    INFO(http("GET", this->front_port(0), "/v1/hosts").body.dump());
    REQUIRE(serving);
}

void cell_fixture::apply_first_note() {
    const nlohmann::json note{
        {"id", "first"},
        {"author", "tests"},
        {"items",
         {{{"change", "add"},
           {"pool",
            {{"name", "previews"},
             {"kind", "quick"},
             {"priority", 900},
             {"quick_limit", "2s"},
             {"services", {"templates"}}}}},
          {{"change", "add"}, {"pool", {{"name", "sheets"}, {"kind", "batch"}, {"priority", 100}}}},
          {{"change", "add"}, {"pool", {{"name", "sync"}, {"kind", "service"}, {"priority", 50}}}},
          {{"change", "add"}, {"pool", {{"name", "proofs"}, {"kind", "gang"}, {"priority", 200}}}},
          {{"change", "add"}, {"team", {{"name", "tabua"}, {"region", "fiji"}}}}}}};
    const auto result = http("POST", this->front_port(0), "/v1/notes?limit=6s", note.dump());
    INFO(result.body.dump());
    REQUIRE(result.body.at("verdict") == "accepted");
}

std::vector<std::string> cell_fixture::workers() const {
    std::vector<std::string> names;
    for (const auto& [name, port] : this->worker_ports) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cell_fixture::executors() const {
    std::vector<std::string> names;
    for (const auto& [name, port] : this->executor_ports) {
        names.push_back(name);
    }
    return names;
}

http_result cell_fixture::submit(int host, const std::string& key, std::chrono::milliseconds run_time,
                                 int tasks, std::chrono::milliseconds limit) {
    const nlohmann::json job{{"team", "tabua"},
                             {"key", key},
                             {"pool", "sheets"},
                             {"kind", "batch"},
                             {"tasks", tasks},
                             {"each", {{"millicores", 1000}, {"memory_mb", 512}, {"accelerators", 0}}},
                             {"payload", nlohmann::json{{"run_ms", run_time.count()}}.dump()}};
    return http("POST", this->front_port(host), "/v1/jobs?limit=" + duration_text(limit), job.dump());
}

http_result cell_fixture::preview(int host, const std::string& key) {
    const nlohmann::json request{{"team", "tabua"},           {"key", key},
                                 {"pool", "previews"},        {"service", "templates"},
                                 {"body", "{\"run_ms\":20}"}, {"limit", "2s"}};
    return http("POST", this->front_port(host), "/v1/quick", request.dump());
}

nlohmann::json cell_fixture::wait_for_end(int host, const std::string& key, std::chrono::milliseconds limit) {
    nlohmann::json last;
    wait_until(
        [&] {
            last = http("GET", this->front_port(host), "/v1/jobs/tabua/" + key).body;
            return text_of(last, "state") == "ended";
        },
        limit);
    return last;
}

std::vector<nlohmann::json> cell_fixture::worker_journal() const {
    std::vector<nlohmann::json> all;
    for (const auto& [name, port] : this->worker_ports) {
        append_journal(all, name, port);
    }
    return all;
}

std::vector<nlohmann::json> cell_fixture::executor_journal() const {
    std::vector<nlohmann::json> all;
    for (const auto& [name, port] : this->executor_ports) {
        append_journal(all, name, port);
    }
    return all;
}

} // namespace rattanmount::tests
