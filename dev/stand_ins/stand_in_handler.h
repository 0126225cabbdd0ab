#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace rattanmount::stand_ins {

class stand_in_server;

/// Passes a request to the server. Owned by Poco; used by the thread of the connection.
class stand_in_handler : public Poco::Net::HTTPRequestHandler {
public:
    /// @param server answers the request; must outlive the handler.
    explicit stand_in_handler(stand_in_server& server);

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    stand_in_server& server;
};

/// Creates a handler for each request.
///
/// Owned jointly by the server and Poco; thread-safe.
class stand_in_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    /// @param server answers the requests; must outlive the handlers.
    explicit stand_in_handler_factory(stand_in_server& server);

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    stand_in_server& server;
};

} // namespace rattanmount::stand_ins
