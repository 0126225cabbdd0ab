#include "front/http_message.h"

#include <Poco/String.h>

#include <algorithm>

namespace rattanmount::front {

std::string http_request::header(const std::string& name) const {
    const auto found = std::find_if(this->headers.begin(), this->headers.end(), [&](const http_field& field) {
        return Poco::icompare(field.name, name) == 0;
    });
    return found == this->headers.end() ? "" : found->value;
}

} // namespace rattanmount::front
