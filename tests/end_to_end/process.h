#pragma once

#include <Poco/Pipe.h>
#include <Poco/Process.h>

#include <optional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// A child process of a test. Killed when the object is destroyed.
class process {
public:
    /// Starts a program.
    /// @param program the path of the program.
    /// @param arguments the arguments of the program.
    process(const std::string& program, const std::vector<std::string>& arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Reads the line `listening PORT` that a stand-in prints when it starts.
    /// @return the port.
    /// @throws std::runtime_error if it prints anything else.
    int listening_port();

    /// @return whether the process has been started and has not ended.
    [[nodiscard]] bool is_running() const;

    /// Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
    void signal(int number);

    /// Waits until the process has ended.
    /// @return the exit code.
    int wait();

    /// Sends SIGKILL and waits until the process has ended.
    void kill();

private:
    Poco::Pipe output;
    std::optional<Poco::ProcessHandle> handle;
};

} // namespace rattanmount::tests
