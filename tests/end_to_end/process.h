#pragma once

#include <Poco/Pipe.h>
#include <Poco/Process.h>

#include <optional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// A process that a test started; killed when the object goes.
class process {
public:
    /// @param program the program's path.
    /// @param arguments its arguments.
    process(const std::string& program, const std::vector<std::string>& arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Reads the line `listening PORT` that a stand-in prints.
    /// @return the port.
    int listening_port();

    /// @param number a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
    void signal(int number);

    /// Waits for the end.
    /// @return its exit code.
    int wait();

    /// Ends it at once and waits.
    void kill();

private:
    Poco::Pipe output;
    std::optional<Poco::ProcessHandle> handle;
};

} // namespace rattanmount::tests
