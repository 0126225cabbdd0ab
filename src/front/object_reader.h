#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::front {

/// Reads the fields of one JSON object and rejects unknown fields.
///
/// Read each field once, then call refuse_unread_fields(). A null field counts as missing. Every error names
/// the field with its path. Used by one thread; the JSON value must outlive the reader.
class object_reader {
public:
    /// @param value the object.
    /// @param path the path of the object in the document, for errors; "" for the outermost object.
    /// @throws core::invalid_argument if the value is not an object.
    explicit object_reader(const nlohmann::json& value, std::string path = "");

    /// @return whether the field is present and not null.
    [[nodiscard]] bool has(const std::string& field) const;

    // All functions below throw core::invalid_argument if a field has the wrong type or a value out of range.
    // Those without a default value also throw it if the field is missing.

    [[nodiscard]] std::string text(const std::string& field);
    [[nodiscard]] std::string text_or(const std::string& field, const std::string& default_value);
    [[nodiscard]] bool boolean(const std::string& field);
    [[nodiscard]] bool boolean_or(const std::string& field, bool default_value);
    /// @return an integer in [min_value, max_value].
    [[nodiscard]] std::int64_t integer(const std::string& field, std::int64_t min_value,
                                       std::int64_t max_value);
    [[nodiscard]] std::int64_t integer_or(const std::string& field, std::int64_t default_value,
                                          std::int64_t min_value, std::int64_t max_value);
    /// @return a duration that is written as text, such as "250ms".
    [[nodiscard]] core::milliseconds duration_or(const std::string& field, core::milliseconds default_value);
    /// @return the text of the field, or the decoded bytes of the field whose name ends in "_base64".
    /// @throws core::invalid_argument if both fields are present.
    [[nodiscard]] std::string bytes_or(const std::string& field, const std::string& default_value);
    [[nodiscard]] std::vector<std::string> texts(const std::string& field);
    /// @return the value of the field, which may have any type.
    [[nodiscard]] const nlohmann::json& member(const std::string& field);
    /// @return the path of a field of this object, for errors.
    [[nodiscard]] std::string path_of(const std::string& field) const;

    /// @throws core::invalid_argument if the object has a field that was never accessed.
    void refuse_unread_fields() const;

private:
    [[noreturn]] void throw_invalid(const std::string& field, const std::string& problem) const;

    const nlohmann::json& value;
    std::string path;
    std::set<std::string> accessed_fields;
};

} // namespace rattanmount::front
