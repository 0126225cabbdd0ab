#include "stand_ins/stand_in_connection.h"

#include "stand_ins/stand_in_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <exception>
#include <memory>

namespace rattanmount::stand_ins {

stand_in_connection::stand_in_connection(const Poco::Net::StreamSocket& socket,
                                         const Poco::Net::HTTPServerParams::Ptr& params,
                                         const Poco::Net::HTTPRequestHandlerFactory::Ptr& handlers,
                                         stand_in_server& server)
    : HTTPServerConnection(socket, params, handlers), server(server) {}

void stand_in_connection::run() {
    std::string peer;
    try {
        peer = this->socket().peerAddress().toString();
    } catch (const Poco::Exception&) {
        return;
    }
    this->server.connection_opened(peer, this->socket());
    try {
        HTTPServerConnection::run();
    } catch (const std::exception&) {
        // The client closed the connection or the network failed. Either way the connection has ended.
    }
    this->server.connection_closed(peer);
}

stand_in_connection_factory::stand_in_connection_factory(Poco::Net::HTTPServerParams::Ptr params,
                                                         Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                                                         stand_in_server& server)
    : params(std::move(params)), handlers(std::move(handlers)), server(server) {}

Poco::Net::TCPServerConnection*
stand_in_connection_factory::createConnection(const Poco::Net::StreamSocket& socket) {
    return std::make_unique<stand_in_connection>(socket, this->params, this->handlers, this->server)
        .release();
}

} // namespace rattanmount::stand_ins
