#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::front {

/// Reads the fields of one JSON object and refuses what it does not know.
///
/// Read each field once, then call refuse_unread_fields(). Every error names the field with its path. For one thread; the
/// JSON value must outlive the reader.
class object_reader {
public:
    /// @param value the object.
    /// @param path where it stands, for errors; "" for the outermost.
    /// @throws core::invalid_argument where it is no object.
    explicit object_reader(const nlohmann::json& value, std::string path = "");

    /// @return whether the field is there and not null.
    [[nodiscard]] bool has(const std::string& field) const;

    /// @throws core::invalid_argument where the field is missing or no text, as all that follow.
    [[nodiscard]] std::string text(const std::string& field);
    [[nodiscard]] std::string text_or(const std::string& field, const std::string& default_value);
    [[nodiscard]] bool boolean(const std::string& field);
    [[nodiscard]] bool boolean_or(const std::string& field, bool default_value);
    /// @return a whole number from min_value to max_value.
    [[nodiscard]] std::int64_t integer(const std::string& field, std::int64_t min_value, std::int64_t max_value);
    [[nodiscard]] std::int64_t integer_or(const std::string& field, std::int64_t default_value, std::int64_t min_value,
                                          std::int64_t max_value);
    /// @return a duration that is written like "250ms".
    [[nodiscard]] core::milliseconds duration_or(const std::string& field, core::milliseconds default_value);
    /// @return bytes: the field's text, or what the field with "_base64" at the end of its name encodes.
    [[nodiscard]] std::string bytes_or(const std::string& field, const std::string& default_value);
    [[nodiscard]] std::vector<std::string> texts(const std::string& field);
    /// @return the value of the field, of any type.
    [[nodiscard]] const nlohmann::json& member(const std::string& field);
    /// @return the path of a field of this object, for errors.
    [[nodiscard]] std::string path_of(const std::string& field) const;

    /// @throws core::invalid_argument where a field was never read.
    void refuse_unread_fields() const;

private:
    [[noreturn]] void throw_invalid(const std::string& field, const std::string& problem) const;

    const nlohmann::json& value;
    std::string path;
    std::set<std::string> read_fields;
};

} // namespace rattanmount::front
