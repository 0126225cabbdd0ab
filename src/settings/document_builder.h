#pragma once

#include "settings/document.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanmount::settings {

/// Builds a document from the events of the JSON parser and finds keys that are given twice.
///
/// The function names are those that the parser of nlohmann-json calls. Made by parse_document() for one
/// text; used by one thread.
class document_builder {
public:
    using json = nlohmann::json;

    bool null();
    bool boolean(bool value);
    bool number_integer(json::number_integer_t value);
    bool number_unsigned(json::number_unsigned_t value);
    bool number_float(json::number_float_t value, const std::string& text);
    bool string(std::string& value);
    bool binary(json::binary_t& value);
    bool start_object(std::size_t count);
    bool key(std::string& name);
    bool end_object();
    bool start_array(std::size_t count);
    bool end_array();
    bool parse_error(std::size_t position, const std::string& token, const json::exception& error);

    /// @return the document; call it once, after the parser succeeded.
    [[nodiscard]] document take();

    /// @return what the parser found wrong; empty where the text was JSON.
    [[nodiscard]] const std::string& error() const { return this->error_text; }

    /// @return the number of bytes read up to the error.
    [[nodiscard]] std::size_t error_position() const { return this->error_at; }

private:
    /// An object or array that is not yet closed.
    struct open_value {
        json value;
        std::string name;       ///< The last key read, in an object.
        bool duplicate = false; ///< Whether that key was there before.
    };

    bool add(json value);
    bool close();
    [[nodiscard]] std::string path() const;

    std::vector<open_value> open;
    document result;
    std::string error_text;
    std::size_t error_at = 0;
};

} // namespace rattanmount::settings
