#pragma once

#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace rattanmount::stand_ins {

class stand_in_server;

/// One connection of a client, with its start and end in the journal.
///
/// Owned by Poco; used by the connection's thread.
class stand_in_connection : public Poco::Net::HTTPServerConnection {
public:
    /// @param socket the connection.
    /// @param params of Poco's server.
    /// @param handlers makes a handler for each request.
    /// @param server told of the start and the end; must outlive the connection.
    stand_in_connection(const Poco::Net::StreamSocket& socket, const Poco::Net::HTTPServerParams::Ptr& params,
                        const Poco::Net::HTTPRequestHandlerFactory::Ptr& handlers, stand_in_server& server);

    void run() override;

private:
    stand_in_server& server;
};

/// Makes the connections of a server. Owned by Poco.
class stand_in_connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    /// @param params of Poco's server.
    /// @param handlers makes a handler for each request.
    /// @param server told of each connection; must outlive the factory.
    stand_in_connection_factory(Poco::Net::HTTPServerParams::Ptr params,
                                Poco::Net::HTTPRequestHandlerFactory::Ptr handlers, stand_in_server& server);

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override;

private:
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr handlers;
    stand_in_server& server;
};

} // namespace rattanmount::stand_ins
