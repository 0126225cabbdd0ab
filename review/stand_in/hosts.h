#pragma once

#include "record.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

/// Picks a free loopback port.
inline std::uint16_t free_port() {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), false);
    return socket.address().port();
}

/// A process of the project, `target/rattanmount serve`, with settings like those of a small deployment.
class host {
public:
    host(std::string name, std::string folder, std::uint16_t store_port)
        : name(std::move(name)), folder(std::move(folder)), callers(free_port()), ready_port(free_port()),
          peers(free_port()) {
        const json settings{{"host", this->name},
                            {"data_centre", "zone-a"},
                            {"listen",
                             {{"callers", address(this->callers)},
                              {"ready", address(this->ready_port)},
                              {"peers", address(this->peers)}}},
                            {"log", {{"address", address(store_port)}, {"stream", "cell"}}},
                            {"workers", {{"longest_lease_ms", 10000}, {"stop_time_ms", 200}}},
                            {"processor_share", 0.25},
                            {"shutdown_grace_s", 6},
                            {"logs", {{"level", "info"}, {"format", "text"}}}};
        std::ofstream{this->settings_path()} << settings.dump(4);
    }
    ~host() { this->kill(SIGKILL); }
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    void start() {
        this->process = ::fork();
        if (this->process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log = this->folder + "/" + this->name + ".log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const auto settings = this->settings_path();
            ::execl("target/rattanmount", "rattanmount", "serve", "--settings", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Sends a signal to the process; waits for its end after SIGKILL.
    void kill(int signal) {
        if (this->process > 0) {
            ::kill(this->process, signal);
            if (signal == SIGKILL) {
                ::waitpid(this->process, nullptr, 0);
                this->process = 0;
            }
        }
    }

    /// Returns whether the process has ended by itself.
    bool has_ended() {
        if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
            this->process = 0;
            return true;
        }
        return false;
    }

    [[nodiscard]] bool runs() const { return this->process > 0; }
    [[nodiscard]] bool is_ready() const {
        return call(this->ready_port, "GET", "/ready", "ready", "", milliseconds{1000}).status == 200;
    }
    [[nodiscard]] std::uint16_t port() const { return this->callers; }
    [[nodiscard]] const std::string& id() const { return this->name; }
    [[nodiscard]] std::string log_path() const { return this->folder + "/" + this->name + ".log"; }

private:
    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }
    [[nodiscard]] std::string settings_path() const { return this->folder + "/" + this->name + ".json"; }

    const std::string name;
    const std::string folder;
    const std::uint16_t callers;
    const std::uint16_t ready_port;
    const std::uint16_t peers;
    pid_t process = 0;
};

/// A temporary folder that is removed at the end.
class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->path = ::mkdtemp(pattern.data());
    }
    ~temporary_folder() {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(this->path);
        }
    }
    std::string path;
};

/// Waits until a condition holds.
/// @return whether it held in time.
inline bool wait_until(const std::function<bool()>& condition, milliseconds limit) {
    const auto end = now_ms() + limit.count();
    while (!condition()) {
        if (now_ms() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return true;
}

} // namespace review
