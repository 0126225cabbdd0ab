#include "stand_ins/stand_in_handler.h"

#include "stand_ins/stand_in_server.h"

#include <memory>

namespace rattanmount::stand_ins {

stand_in_handler::stand_in_handler(stand_in_server& server) : server(server) {}

void stand_in_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response) {
    this->server.serve(request, response);
}

stand_in_handler_factory::stand_in_handler_factory(stand_in_server& server) : server(server) {}

Poco::Net::HTTPRequestHandler*
stand_in_handler_factory::createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) {
    return std::make_unique<stand_in_handler>(this->server).release();
}

} // namespace rattanmount::stand_ins
