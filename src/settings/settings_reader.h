#pragma once

#include "settings/host_settings.h"

#include <string>
#include <vector>

namespace rattanmount::settings {

/// Parses and checks the settings of an entry host.
/// @param text JSON with comments.
/// @return the settings; those that the text does not contain have their default values.
/// @throws settings_error with every fault of the text: syntax, keys that are unknown, missing or given
///         twice, types, units, ranges, and settings that contradict each other.
[[nodiscard]] host_settings read_settings(const std::string& text);

/// Reads the settings of an entry host from a file and checks them.
/// @throws settings_error as read_settings() does, and if the file cannot be read.
[[nodiscard]] host_settings read_settings_file(const std::string& path);

/// One key that a settings text may contain.
struct setting_key {
    std::string path;          ///< For example "platform.log.timeout"; "[]" stands for any entry of a list.
    std::string default_value; ///< As text; empty if the key is required.
    std::string allowed;       ///< For example "1 to 256".
};

/// @return every key that read_settings() accepts, in the order in which it reads them.
[[nodiscard]] std::vector<setting_key> setting_keys();

} // namespace rattanmount::settings
