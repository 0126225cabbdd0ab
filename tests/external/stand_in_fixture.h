#pragma once

#include "core/core.h"
#include "external/external.h"
#include "stand_ins/stand_ins.h"

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <string>

namespace platform_test {

using namespace rattanmount;
using namespace std::chrono_literals;

/// Runs a stand-in for one platform service in the test process.
template <typename Role>
class stand_in_fixture {
public:
    /// @param make_role creates the role from the journal and the fault injector.
    template <typename Make>
    explicit stand_in_fixture(Make make_role)
        : role(make_role(this->log, this->faults)), server({}, this->role.hooks(), this->log, this->faults) {}

    /// @param path such as "/workers/w1"; may be empty.
    [[nodiscard]] core::endpoint at(const std::string& path = "") const {
        return {.address = "127.0.0.1", .port = this->server.port(), .path = path};
    }

    stand_ins::journal log;
    stand_ins::fault_injector faults;
    Role role;
    stand_ins::stand_in_server server;
};

struct log_fixture : stand_in_fixture<stand_ins::log_role> {
    log_fixture() : stand_in_fixture([](auto& log, auto&) { return stand_ins::log_role{{}, log}; }) {}
};

struct executors_fixture : stand_in_fixture<stand_ins::executors_role> {
    explicit executors_fixture(const stand_ins::executors_role_options& options = {.names = {"e1"}})
        : stand_in_fixture([&options](auto& log, auto& faults) {
              return stand_ins::executors_role{options, log, faults};
          }) {}
};

struct workers_fixture : stand_in_fixture<stand_ins::workers_role> {
    workers_fixture()
        : stand_in_fixture([](auto& log, auto& faults) {
              return stand_ins::workers_role{
                  {.names = {"w1"}, .capacity = {.millicores = 4000, .memory_mb = 4096}}, log, faults};
          }) {}
};

struct fleet_fixture : stand_in_fixture<stand_ins::fleet_role> {
    fleet_fixture()
        : stand_in_fixture([](auto& log, auto& faults) {
              return stand_ins::fleet_role{log, faults};
          }) {}
};

/// @return an address on which no server listens.
inline core::endpoint unused_endpoint() {
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    return {.address = "127.0.0.1", .port = socket.address().port()};
}

/// Returns how long a call takes.
template <typename Call>
core::milliseconds measure_duration(Call call) {
    const auto begin = std::chrono::steady_clock::now();
    call();
    return std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - begin);
}

} // namespace platform_test
