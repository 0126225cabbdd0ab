#pragma once

#include "settings/document.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanmount::settings {

/// Builds a document from the SAX events of the JSON parser and detects keys that are given twice.
///
/// The public functions up to parse_error() form the SAX interface of nlohmann-json; each returns whether
/// to go on parsing. Created by parse_document() for one text; used by one thread.
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

    /// Moves the document out. Call once, after the parser has succeeded.
    [[nodiscard]] document take();

    /// @return the parser's error message; empty if the text was JSON.
    [[nodiscard]] const std::string& error() const { return this->error_text; }

    /// @return the number of bytes read up to the error.
    [[nodiscard]] std::size_t error_position() const { return this->bytes_read; }

private:
    /// An object or array whose end has not been read yet.
    struct open_value {
        json value;
        std::string name;       ///< For an object: the last key read.
        bool duplicate = false; ///< Whether the object already contains that key.
    };

    bool add(json value);
    bool close();
    [[nodiscard]] std::string path() const;

    std::vector<open_value> open_values; ///< Outermost first.
    document result;
    std::string error_text;
    std::size_t bytes_read = 0; ///< When the error occurred.
};

} // namespace rattanmount::settings
