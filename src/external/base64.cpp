#include "external/base64.h"

#include "core/errors.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <iterator>
#include <sstream>

namespace rattanmount::external {

std::string base64_encode(const std::string& bytes) {
    std::ostringstream text;
    Poco::Base64Encoder encoder{text};
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string base64_decode(const std::string& text) {
    try {
        std::istringstream source{text};
        Poco::Base64Decoder decoder{source};
        std::string bytes{std::istreambuf_iterator<char>{decoder}, std::istreambuf_iterator<char>{}};
        if (base64_encode(bytes) != text) {
            throw core::invalid_argument("invalid base64");
        }
        return bytes;
    } catch (const Poco::DataFormatException&) {
        throw core::invalid_argument("invalid base64");
    }
}

} // namespace rattanmount::external
