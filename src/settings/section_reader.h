#pragma once

#include "core/endpoint.h"
#include "core/strong_types.h"
#include "core/time.h"
#include "settings/settings_error.h"
#include "settings/settings_reader.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::settings {

/// The values that a setting may have; both bounds are allowed.
template <typename T>
struct range {
    T min;
    T max;
};

/// The output shared by the readers of all sections of one text.
struct reader_output {
    std::vector<fault> faults;
    std::vector<setting_key> keys; ///< Each key that a reader has looked up, once.
};

/// Reads the values of one JSON object into typed fields and reports invalid ones as faults.
///
/// Create one per object, call a function for each key that the object may contain, then finish(). If a
/// value is missing or invalid, its target keeps its previous value. Used by one thread, while
/// read_settings() runs.
class section_reader {
public:
    /// @param value the object; any other type is reported as a fault. Must outlive this reader.
    /// @param path the path of the object in the settings, "" for the root.
    /// @param output where faults and keys are added; must outlive this reader.
    section_reader(const nlohmann::json& value, std::string path, reader_output& output);

    /// Reads a required name, which is neither empty nor longer than 128 bytes.
    template <typename Tag>
    void required_id(const std::string& key, core::text_id<Tag>& target) {
        std::string text;
        this->required_name(key, text);
        target = core::text_id<Tag>{std::move(text)};
    }

    /// Reads a required endpoint, "address:port" or "address:port/path".
    void required_endpoint(const std::string& key, core::endpoint& target);

    /// Reads a required whole number.
    void required_count(const std::string& key, std::uint32_t& target, range<std::uint32_t> allowed);

    /// Reads a name as required_id() does; the target's present value is the default.
    void name(const std::string& key, std::string& target);

    /// Reads a whole number; the target's present value is the default.
    void count(const std::string& key, std::uint32_t& target, range<std::uint32_t> allowed);

    /// Reads a number; the target's present value is the default.
    void ratio(const std::string& key, double& target, range<double> allowed);

    /// Reads a duration with a unit, for example "250ms"; the target's present value is the default.
    void duration(const std::string& key, core::milliseconds& target, range<core::milliseconds> allowed);

    /// Reads one of several names.
    /// @param default_value the name that applies if the key is not given; only documents the key.
    /// @param allowed the names, separated by commas; only documents the key.
    /// @param parse called with the given name; throws core::invalid_argument if the name is not allowed.
    void choice(const std::string& key, const std::string& default_value, const std::string& allowed,
                const std::function<void(const std::string&)>& parse);

    /// Reads an object; if it is not given, it is read as an empty one, so that its defaults apply.
    void section(const std::string& key, const std::function<void(section_reader&)>& read);

    /// Reads a required list of objects, which must not be empty.
    void required_list(const std::string& key, const std::function<void(section_reader&)>& read_entry);

    /// Reads a required list of names, which must not be empty.
    /// @param add called with each name; with "" in place of an invalid one.
    void required_names(const std::string& key, const std::function<void(const std::string&)>& add);

    /// Reports a fault for each key of the object that has not been looked up.
    void finish();

private:
    enum class presence : std::uint8_t { required, optional };

    /// Looks up a key, adds it to the known keys, and reports a fault if it is required but not given.
    /// @return the value, or nullptr if the key is not given.
    const nlohmann::json* find(const std::string& key, presence expected, const std::string& default_value,
                               const std::string& allowed);
    const nlohmann::json* find_list(const std::string& key);
    void required_name(const std::string& key, std::string& target);
    void read_name(const std::string& key, const nlohmann::json& value, std::string& target);
    void read_count(const std::string& key, const nlohmann::json& value, std::uint32_t& target,
                    range<std::uint32_t> allowed);
    void read_section(const nlohmann::json& value, const std::string& place,
                      const std::function<void(section_reader&)>& read);
    [[nodiscard]] std::string path_of(const std::string& key) const;
    void add_fault(const std::string& place, std::string message);
    void add_type_fault(const std::string& place, const std::string& expected, const nlohmann::json& value);

    const nlohmann::json& value;
    std::string path;
    reader_output& output;
    std::vector<std::string> looked_up_keys;
};

} // namespace rattanmount::settings
