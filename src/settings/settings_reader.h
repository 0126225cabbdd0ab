#pragma once

#include "settings/host_settings.h"

#include <string>
#include <vector>

namespace rattanmount::settings {

/// Reads and checks the settings of an entry host.
/// @param text JSON, in which comments may stand.
/// @return the settings, with defaults where the text names none.
/// @throws settings_error with every fault of the text: syntax, keys that are unknown, missing or given
///         twice, types, units, ranges, and settings that contradict each other.
[[nodiscard]] host_settings read_settings(const std::string& text);

/// Reads and checks the settings in a file.
/// @param path the file.
/// @return the settings.
/// @throws settings_error as read_settings() does, and where the file cannot be read.
[[nodiscard]] host_settings read_settings_file(const std::string& path);

/// One key that a settings text may hold.
struct setting_key {
    std::string path;          ///< For example "platform.log.timeout"; "[]" stands for each entry of a list.
    std::string default_value; ///< As text; empty where the key must be given.
    std::string allowed;       ///< For example "1 to 256".
};

/// @return every key that the reader knows, in its order.
[[nodiscard]] std::vector<setting_key> setting_keys();

} // namespace rattanmount::settings
