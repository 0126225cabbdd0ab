#include "front/http_front.h"

#include "front/request_handler.h"
#include "front/timespan.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/SharedPtr.h>

#include <cassert>
#include <utility>

namespace rattanmount::front {

namespace {

/// For the only request of a refused connection to arrive.
constexpr core::milliseconds refusal_receive_timeout{1000};

/// Creates the request handlers of one connection.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(request_handler_options options) : options(std::move(options)) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return std::make_unique<request_handler>(this->options).release();
    }

private:
    request_handler_options options;
};

Poco::Net::HTTPServerParams::Ptr make_params(const http_front_options& options, bool overloaded) {
    constexpr int unlimited_requests = 0;
    auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    params->setTimeout(to_timespan(overloaded ? refusal_receive_timeout : options.receive_timeout));
    params->setKeepAlive(!overloaded);
    params->setKeepAliveTimeout(to_timespan(options.keep_alive_timeout));
    params->setMaxKeepAliveRequests(unlimited_requests);
    return params;
}

} // namespace

http_front::http_front(http_front_options options)
    : options(std::move(options)), router(this->make_routes_options()), server(this->make_server_options()) {
    assert(this->options.counters);
}

http_front::~http_front() {
    this->stop(core::milliseconds{0});
}

void http_front::start() {
    this->server.start();
}

void http_front::set_ready(bool value) {
    this->ready = value;
}

void http_front::stop(core::milliseconds grace) {
    const auto deadline = std::chrono::steady_clock::now() + grace;
    this->set_ready(false);
    this->stopping = true;
    this->server.stop_accepting();
    this->requests.wait_until_idle(this->options.quiet_time, deadline);
    this->server.finish(deadline);
}

core::endpoint http_front::endpoint() const {
    return this->server.endpoint();
}

const front_counters& http_front::counters() const {
    return *this->options.counters;
}

routes_options http_front::make_routes_options() {
    auto calls = this->options.calls;
    calls.ready = [this] { return this->ready && this->options.calls.ready(); };
    return {.calls = std::move(calls),
            .default_limit = this->options.default_limit,
            .max_limit = this->options.max_limit};
}

connection_server_options http_front::make_server_options() {
    return {.listen = this->options.listen,
            .max_threads = this->options.max_threads,
            .max_queued = this->options.max_queued,
            .first_request_timeout = this->options.receive_timeout,
            .serve = [this](const auto& socket, auto& connection) { this->serve(socket, connection, false); },
            .refuse = [this](const auto& socket, auto& connection) { this->serve(socket, connection, true); },
            .counters = this->options.counters};
}

void http_front::serve(const Poco::Net::StreamSocket& socket, open_connection& connection, bool overloaded) {
    const auto handle = [this, overloaded](const http_request& request) {
        if (!overloaded) {
            return this->router.handle(request);
        }
        this->options.counters->overload_refusals++;
        return this->router.handle_overloaded(request);
    };
    const auto may_keep_alive = [this, overloaded] {
        return !overloaded && !this->stopping && !this->server.has_waiting_connections();
    };
    const Poco::Net::HTTPRequestHandlerFactory::Ptr factory =
        Poco::makeShared<handler_factory>(request_handler_options{
            .handle = handle,
            .may_keep_alive = may_keep_alive,
            .max_body_bytes = this->options.max_body_bytes,
            .receive_timeout = overloaded ? refusal_receive_timeout : this->options.receive_timeout,
            .counters = *this->options.counters,
            .requests = this->requests,
            .connection = connection});
    Poco::Net::HTTPServerConnection{socket, make_params(this->options, overloaded), factory}.run();
}

} // namespace rattanmount::front
