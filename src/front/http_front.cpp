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

/// How long the one request of a refused connection may take to arrive.
constexpr core::milliseconds refusal_limit{1000};

/// Makes the handlers of one connection.
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
    params->setTimeout(to_timespan(overloaded ? refusal_limit : options.receive_limit));
    params->setKeepAlive(!overloaded);
    params->setKeepAliveTimeout(to_timespan(options.keep_alive_limit));
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
    const auto until = std::chrono::steady_clock::now() + grace;
    this->set_ready(false);
    this->stopping = true;
    this->server.stop_accepting();
    this->requests.wait_quiet(this->options.quiet_time, until);
    this->server.finish(until);
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
            .longest_limit = this->options.longest_limit};
}

connection_server_options http_front::make_server_options() {
    return {.listen = this->options.listen,
            .max_threads = this->options.max_threads,
            .max_queued = this->options.max_queued,
            .first_request_limit = this->options.receive_limit,
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
        return !overloaded && !this->stopping && !this->server.crowded();
    };
    const Poco::Net::HTTPRequestHandlerFactory::Ptr factory = Poco::makeShared<handler_factory>(
        request_handler_options{.handle = handle,
                                .may_keep_alive = may_keep_alive,
                                .max_body_bytes = this->options.max_body_bytes,
                                .receive_limit = overloaded ? refusal_limit : this->options.receive_limit,
                                .counters = *this->options.counters,
                                .requests = this->requests,
                                .connection = connection});
    Poco::Net::HTTPServerConnection{socket, make_params(this->options, overloaded), factory}.run();
}

} // namespace rattanmount::front
