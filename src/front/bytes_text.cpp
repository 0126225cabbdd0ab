#include "front/bytes_text.h"

#include "core/errors.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace rattanmount::front {

bool is_utf8(const std::string& bytes) {
    try {
        (void)nlohmann::json(bytes).dump();
        return true;
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
}

std::string encode_base64(const std::string& bytes) {
    std::ostringstream text;
    Poco::Base64Encoder encoder{text};
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decode_base64(const std::string& text) {
    constexpr std::size_t group = 4; ///< Base64 encodes three bytes as four characters.
    constexpr auto alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const auto digits = text.find_first_not_of(alphabet);
    const auto padding = digits == std::string::npos ? std::string{} : text.substr(digits);
    if (text.size() % group != 0 || !(padding.empty() || padding == "=" || padding == "==")) {
        throw core::invalid_argument("is not Base64");
    }
    std::istringstream input{text};
    Poco::Base64Decoder decoder{input};
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

} // namespace rattanmount::front
