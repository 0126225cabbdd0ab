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

/// The least and the greatest value that a setting may have, both allowed.
template <typename T>
struct range {
    T least;
    T greatest;
};

/// What the readers of all sections of one text add to.
struct reading {
    std::vector<fault> faults;
    std::vector<setting_key> keys; ///< Each key that a reader asked for, once.
};

/// Reads the values of one JSON object into typed fields and notes what is wrong with them.
///
/// Make one for an object, call a function for each key that it may hold, then finish(). A value that is
/// missing or wrong leaves its field as it was. Used by one thread, while read_settings() runs.
class section_reader {
public:
    /// @param value the object; anything else is noted as a fault.
    /// @param path where it stands, "" for the root.
    /// @param shared where faults and keys are added; outlives this reader.
    section_reader(const nlohmann::json& value, std::string path, reading& shared);

    /// Reads a name that must be given: neither empty nor longer than 128 bytes.
    template <typename Tag>
    void required_id(const std::string& key, core::text_id<Tag>& target) {
        std::string text;
        this->required_name(key, text);
        target = core::text_id<Tag>{std::move(text)};
    }

    /// Reads "address:port" or "address:port/path", which must be given.
    void required_endpoint(const std::string& key, core::endpoint& target);

    /// Reads a whole number that must be given.
    void required_count(const std::string& key, std::uint32_t& target, range<std::uint32_t> allowed);

    /// Reads a text that is not empty; its default is what the target holds.
    void name(const std::string& key, std::string& target);

    /// Reads a whole number; its default is what the target holds.
    void count(const std::string& key, std::uint32_t& target, range<std::uint32_t> allowed);

    /// Reads a number; its default is what the target holds.
    void ratio(const std::string& key, double& target, range<double> allowed);

    /// Reads a text with a unit, for example "250ms"; its default is what the target holds.
    void duration(const std::string& key, core::milliseconds& target, range<core::milliseconds> allowed);

    /// Reads the name of a choice.
    /// @param key the key.
    /// @param default_value the name that holds where none is given.
    /// @param allowed the names, with commas between them.
    /// @param parse takes the name; throws core::invalid_argument where there is no such choice.
    void choice(const std::string& key, const std::string& default_value, const std::string& allowed,
                const std::function<void(const std::string&)>& parse);

    /// Reads an object; where it is not given, its fields keep their defaults.
    void section(const std::string& key, const std::function<void(section_reader&)>& read);

    /// Reads a list of objects that must be given and not be empty.
    void required_list(const std::string& key, const std::function<void(section_reader&)>& read_entry);

    /// Reads a list of names that must be given and not be empty.
    void required_names(const std::string& key, const std::function<void(const std::string&)>& take);

    /// Notes a fault for each key that no call asked for.
    void finish();

private:
    enum class need : std::uint8_t { required, optional };

    /// @return the value of a key, or nullptr where it is not given.
    const nlohmann::json* find(const std::string& key, need needed, const std::string& default_value,
                               const std::string& allowed);
    const nlohmann::json* find_list(const std::string& key);
    void required_name(const std::string& key, std::string& target);
    void read_name(const std::string& key, const nlohmann::json& value, std::string& target);
    void read_count(const std::string& key, const nlohmann::json& value, std::uint32_t& target,
                    range<std::uint32_t> allowed);
    void read_section(const nlohmann::json& value, const std::string& place,
                      const std::function<void(section_reader&)>& read);
    [[nodiscard]] std::string path_of(const std::string& key) const;
    void wrong(const std::string& place, std::string message);
    void wrong_type(const std::string& place, const std::string& wanted, const nlohmann::json& value);

    const nlohmann::json& value;
    std::string path;
    reading& shared;
    std::vector<std::string> asked;
};

} // namespace rattanmount::settings
