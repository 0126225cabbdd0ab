#pragma once

#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace rattanmount::stand_ins {

class stand_in_server;

/// A client connection; reports its start and end to the server.
///
/// Owned by Poco; used by the connection's thread.
class stand_in_connection : public Poco::Net::HTTPServerConnection {
public:
    /// @param socket the socket of the connection.
    /// @param params the parameters of the Poco server.
    /// @param handlers creates a handler for each request.
    /// @param server notified when the connection starts and ends; must outlive the connection.
    stand_in_connection(const Poco::Net::StreamSocket& socket, const Poco::Net::HTTPServerParams::Ptr& params,
                        const Poco::Net::HTTPRequestHandlerFactory::Ptr& handlers, stand_in_server& server);

    void run() override;

private:
    stand_in_server& server;
};

/// Creates the connections of a server. Owned by Poco.
class stand_in_connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    /// @param params the parameters of the Poco server.
    /// @param handlers creates a handler for each request.
    /// @param server notified of each connection; must outlive the factory.
    stand_in_connection_factory(Poco::Net::HTTPServerParams::Ptr params,
                                Poco::Net::HTTPRequestHandlerFactory::Ptr handlers, stand_in_server& server);

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override;

private:
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr handlers;
    stand_in_server& server;
};

} // namespace rattanmount::stand_ins
