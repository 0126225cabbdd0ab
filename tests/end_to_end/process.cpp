#include "tests/end_to_end/process.h"

#include <Poco/PipeStream.h>

#include <csignal>
#include <sstream>
#include <stdexcept>

namespace rattanmount::tests {

process::process(const std::string& program, const std::vector<std::string>& arguments)
    : handle(Poco::Process::launch(program, arguments, nullptr, &this->output, nullptr)) {}

process::~process() {
    this->kill();
}

int process::listening_port() {
    std::string line;
    char character = 0;
    while (this->output.readBytes(&character, 1) == 1 && character != '\n') {
        line += character;
    }
    std::istringstream input{line};
    std::string word;
    int port = 0;
    if (!(input >> word >> port) || word != "listening") {
        throw std::runtime_error("expected 'listening PORT' from a stand-in, got '" + line + "'");
    }
    return port;
}

bool process::is_running() const {
    return this->handle && Poco::Process::isRunning(*this->handle);
}

void process::signal(int number) {
    if (this->handle) {
        ::kill(this->handle->id(), number);
    }
}

int process::wait() {
    const int code = this->handle ? this->handle->wait() : 0;
    this->handle.reset();
    return code;
}

void process::kill() {
    if (this->handle) {
        this->signal(SIGKILL);
        this->wait();
    }
}

} // namespace rattanmount::tests
