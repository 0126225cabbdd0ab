#include "inner/inner_server.h"

#include "core/errors.h"
#include "inner/call_tracker.h"
#include "inner/listener.h"
#include "inner/service_handler.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>

#include <cassert>
#include <future>
#include <utility>

namespace rattanmount::inner {

namespace {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportFactory;

/// Wraps each accepted connection in a framed transport with the server's message size limits.
class framing_factory : public TTransportFactory {
public:
    explicit framing_factory(std::shared_ptr<apache::thrift::TConfiguration> limits)
        : limits(std::move(limits)) {}

    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> socket) override {
        return make_framed(socket, this->limits);
    }

private:
    std::shared_ptr<apache::thrift::TConfiguration> limits;
};

/// Notifies the thread that runs start() once the server is listening.
class start_signal : public apache::thrift::server::TServerEventHandler {
public:
    void preServe() override { this->listening.set_value(); }

    std::promise<void> listening;
};

} // namespace

inner_server::inner_server(inner_server_options options) : options(std::move(options)) {
    assert(this->options.max_connections > 0);
    assert(this->options.counters);
    silence_thrift_output();
}

inner_server::~inner_server() {
    this->stop(core::milliseconds{0});
}

void inner_server::start() {
    assert(!this->server);
    const auto limits = make_limits(this->options.max_message_bytes);
    this->tracker = std::make_shared<call_tracker>();
    this->socket = std::make_shared<listener>(this->options.listen.address, this->options.listen.port, limits,
                                              this->options.counters);
    this->socket->setRecvTimeout(static_cast<int>(this->options.idle_limit.count()));
    this->socket->setSendTimeout(static_cast<int>(this->options.idle_limit.count()));
    auto processor = std::make_shared<gen::peer_serviceProcessor>(
        std::make_shared<service_handler>(this->options.calls, this->options.counters));
    processor->setEventHandler(this->tracker);
    this->server =
        std::make_unique<TThreadedServer>(processor, this->socket, std::make_shared<framing_factory>(limits),
                                          std::make_shared<TCompactProtocolFactory>());
    this->server->setConcurrentClientLimit(this->options.max_connections);

    const auto signal = std::make_shared<start_signal>();
    this->server->setServerEventHandler(signal);
    auto listening = signal->listening.get_future();
    this->accept_thread = std::thread{[this, signal] {
        try {
            this->server->serve();
        } catch (const std::exception&) {
            signal->listening.set_exception(std::current_exception());
        }
    }};
    try {
        listening.get();
    } catch (const std::exception& error) {
        this->accept_thread.join();
        this->server.reset();
        throw core::unavailable("cannot listen on " + this->options.listen.text() + ": " + error.what());
    }
}

void inner_server::stop(core::milliseconds grace) {
    if (!this->server) {
        return;
    }
    const auto until = std::chrono::steady_clock::now() + grace;
    this->socket->interrupt();
    const bool quiet = this->tracker->calls.wait_until_idle(this->options.quiet_time, until);
    this->socket->for_each_connection([quiet](accepted_socket& connection) {
        if (quiet) {
            connection.stop_reading();
        } else {
            connection.abort();
        }
    });
    this->accept_thread.join();
    this->server.reset();
}

core::endpoint inner_server::endpoint() const {
    assert(this->socket);
    return {.address = this->options.listen.address,
            .port = static_cast<std::uint16_t>(this->socket->getPort()),
            .path = ""};
}

const traffic_counters& inner_server::counters() const {
    return *this->options.counters;
}

} // namespace rattanmount::inner
