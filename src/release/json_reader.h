#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::release {

/// Reads the fields of one JSON object and collects all errors instead of stopping at the first.
///
/// Read each field that the object may have, then call check_unknown_keys(), which reports the keys that
/// were never read. A field that is absent or invalid yields its fallback. Short-lived: one reader per
/// object, on one thread.
class json_reader {
public:
    /// @param object the value that should be an object; must outlive the reader.
    /// @param path the object's path, such as "items[2].pool"; empty for the root object.
    /// @param errors errors are appended here; must outlive the reader.
    json_reader(const nlohmann::json& object, std::string path, std::vector<std::string>& errors);

    /// @return whether the object has the key.
    [[nodiscard]] bool has(const std::string& key) const;

    /// Reads a string.
    /// @return the value, or the fallback if it is absent or not a string.
    [[nodiscard]] std::string string(const std::string& key, const std::string& fallback = "");

    /// Reads an integer from 0 to max.
    /// @return the value, or the fallback if it is absent, not an integer or out of range.
    [[nodiscard]] std::uint64_t
    unsigned_integer(const std::string& key, std::uint64_t fallback,
                     std::uint64_t max = std::numeric_limits<std::uint32_t>::max());

    /// Reads a number.
    /// @return the value, or the fallback if it is absent or not a number.
    [[nodiscard]] double number(const std::string& key, double fallback);

    /// Reads a Boolean.
    /// @return the value, or the fallback if it is absent or not a Boolean.
    [[nodiscard]] bool boolean(const std::string& key, bool fallback);

    /// Reads an array.
    /// @return the array; an empty one if it is absent or not an array.
    [[nodiscard]] const nlohmann::json& array(const std::string& key);

    /// Reads a field of any type.
    /// @return the value; JSON null if it is absent.
    [[nodiscard]] const nlohmann::json& value(const std::string& key);

    /// @return the full path of a field, such as "items[2].pool.weight".
    [[nodiscard]] std::string path_of(const std::string& key) const;

    /// Appends an error about a field.
    /// @param key the field.
    /// @param message the error, without the path.
    void add_error(const std::string& key, const std::string& message);

    /// Appends an error for each key of the object that was never read.
    void check_unknown_keys();

private:
    const nlohmann::json& object;
    std::string path;
    std::vector<std::string>& errors;
    std::set<std::string> read_keys;
};

} // namespace rattanmount::release
