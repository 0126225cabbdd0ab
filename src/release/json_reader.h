#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::release {

/// Reads the fields of one JSON object and collects what is wrong with them.
///
/// Ask for each field that the object may have, then call finish(), which finds the keys that were not
/// asked for. A field that is absent or wrong gives its default. Lives while one object is read.
class json_reader {
public:
    /// @param object the value that should be an object; must outlive the reader.
    /// @param place where it stands, such as "items[2].pool"; empty for the outermost.
    /// @param faults where faults are added; must outlive the reader.
    json_reader(const nlohmann::json& object, std::string place, std::vector<std::string>& faults);

    /// @param key a field.
    /// @return whether the object has it.
    [[nodiscard]] bool has(const std::string& key) const;

    /// @param key a text field.
    /// @param fallback what is given where it is absent or wrong.
    /// @return its value.
    [[nodiscard]] std::string text(const std::string& key, const std::string& fallback = "");

    /// @param key a field that is a whole number, 0 or more.
    /// @param fallback what is given where it is absent or wrong.
    /// @param most the largest value that is taken.
    /// @return its value.
    [[nodiscard]] std::uint64_t whole(const std::string& key, std::uint64_t fallback,
                                      std::uint64_t most = std::numeric_limits<std::uint32_t>::max());

    /// @param key a field that is a number.
    /// @param fallback what is given where it is absent or wrong.
    /// @return its value.
    [[nodiscard]] double number(const std::string& key, double fallback);

    /// @param key a field that is true or false.
    /// @param fallback what is given where it is absent or wrong.
    /// @return its value.
    [[nodiscard]] bool flag(const std::string& key, bool fallback);

    /// @param key a field that is a list.
    /// @return its elements; empty where it is absent or wrong.
    [[nodiscard]] const nlohmann::json& list(const std::string& key);

    /// @param key a field of any type.
    /// @return its value; null where it is absent.
    [[nodiscard]] const nlohmann::json& value(const std::string& key);

    /// @param key a field.
    /// @return where it stands.
    [[nodiscard]] std::string place_of(const std::string& key) const;

    /// Adds a fault.
    /// @param key the field that it is about.
    /// @param message what is wrong.
    void fault(const std::string& key, const std::string& message);

    /// Adds a fault for each key that was not asked for.
    void finish();

private:
    const nlohmann::json& object;
    std::string place;
    std::vector<std::string>& faults;
    std::set<std::string> asked;
};

} // namespace rattanmount::release
