#pragma once

// A small HTTP/1.1 server and client on loopback sockets, for the stand-ins of this review.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace stand_in {

struct no_case_compare {
    bool operator()(const std::string& a, const std::string& b) const {
        return ::strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};

using header_map = std::map<std::string, std::string, no_case_compare>;

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body = "{}";
    std::string content_type = "application/json";
};

inline std::string percent_decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); i++) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds a socket to a port that the system chooses, or to the given one.
inline int bind_loopback(std::uint16_t& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot bind to a loopback port");
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Returns a port that is free now, and that the system doesn't give to outgoing connections meanwhile.
inline std::uint16_t free_port() {
    static std::mt19937 numbers{std::random_device{}()};
    constexpr int tries = 1000;
    for (int i = 0; i < tries; i++) {
        std::uint16_t port = std::uniform_int_distribution<std::uint16_t>{20000, 32000}(numbers);
        try {
            ::close(bind_loopback(port));
            return port;
        } catch (const std::runtime_error&) {
            continue; // In use.
        }
    }
    throw std::runtime_error("no free loopback port");
}

/// Reads one HTTP message from a socket; keeps surplus bytes for the next one.
class message_reader {
public:
    explicit message_reader(int fd) : fd(fd) {}

    /// Returns false if the connection ended, failed or timed out before a whole message was read.
    bool read(std::string& first_line, header_map& headers, std::string& body,
              std::chrono::steady_clock::time_point deadline) {
        std::size_t end = 0;
        while ((end = this->bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!this->receive(deadline)) {
                return false;
            }
        }
        const auto head = this->bytes.substr(0, end);
        this->bytes.erase(0, end + 4);
        auto place = head.find("\r\n");
        first_line = head.substr(0, place);
        headers.clear();
        while (place != std::string::npos) {
            const auto next = head.find("\r\n", place + 2);
            const auto line = head.substr(place + 2, next == std::string::npos ? next : next - place - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                headers[line.substr(0, colon)] = value == std::string::npos ? "" : line.substr(value);
            }
            place = next;
        }
        const auto length = headers.find("Content-Length");
        const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
        while (this->bytes.size() < size) {
            if (!this->receive(deadline)) {
                return false;
            }
        }
        body = this->bytes.substr(0, size);
        this->bytes.erase(0, size);
        return true;
    }

private:
    bool receive(std::chrono::steady_clock::time_point deadline) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline -
                                                                       std::chrono::steady_clock::now());
        pollfd ready{.fd = this->fd, .events = POLLIN, .revents = 0};
        if (left.count() <= 0 || ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
            return false;
        }
        char buffer[16384];
        const auto taken = ::recv(this->fd, buffer, sizeof buffer, 0);
        if (taken <= 0) {
            return false;
        }
        this->bytes.append(buffer, static_cast<std::size_t>(taken));
        return true;
    }

    int fd;
    std::string bytes;
};

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto taken = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (taken <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(taken);
    }
    return true;
}

/// Serves requests, one thread for each connection. Runs until the process ends.
class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_server(handler handle) : handle(std::move(handle)), fd(bind_loopback(this->bound)) {
        ::listen(this->fd, 256);
        std::thread{[this] { this->accept_connections(); }}.detach();
    }

    [[nodiscard]] std::uint16_t port() const { return this->bound; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->bound); }

private:
    void accept_connections() {
        while (true) {
            const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                const int yes = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                std::thread{[this, accepted] { this->serve(accepted); }}.detach();
            }
        }
    }

    void serve(int connection) {
        message_reader reader{connection};
        std::string line;
        http_request request;
        while (reader.read(line, request.headers, request.body,
                           std::chrono::steady_clock::now() + std::chrono::hours{1})) {
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            request.method = line.substr(0, first);
            const auto target = line.substr(first + 1, second - first - 1);
            const auto mark = target.find('?');
            request.path = target.substr(0, mark);
            request.query.clear();
            std::size_t place = mark;
            while (place != std::string::npos) {
                const auto next = target.find('&', place + 1);
                const auto part =
                    target.substr(place + 1, next == std::string::npos ? next : next - place - 1);
                const auto equals = part.find('=');
                request.query[part.substr(0, equals)] =
                    equals == std::string::npos ? "" : percent_decode(part.substr(equals + 1));
                place = next;
            }
            const auto response = this->handle(request);
            if (response.status == 0) {
                break; // No answer: the connection ends.
            }
            const auto head = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " +
                              response.content_type + "\r\nContent-Length: " +
                              std::to_string(response.body.size()) + "\r\n\r\n";
            if (!send_all(connection, head + response.body)) {
                break;
            }
        }
        ::close(connection);
    }

    handler handle;
    std::uint16_t bound = 0;
    int fd;
};

/// Sends one request over a connection of its own. The status is 0 if there is no answer in time.
inline http_response call(std::uint16_t port, const std::string& method, const std::string& target,
                          const header_map& headers, const std::string& body,
                          std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    http_response response{.status = 0, .body = ""};
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        std::string bytes = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers) {
            bytes += name + ": " + value + "\r\n";
        }
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string line;
        header_map answered;
        message_reader reader{fd};
        if (send_all(fd, bytes) && reader.read(line, answered, response.body, deadline)) {
            response.status = std::stoi(line.substr(line.find(' ') + 1));
        }
    }
    ::close(fd);
    return response;
}

} // namespace stand_in
