#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "telemetry/logging_options.h"

#include <optional>
#include <string>

namespace rattanmount::settings {

/// The settings of a host of a cell that is led by one of its hosts; docs/PLATFORM-SETTINGS.md describes
/// each.
struct cell_host_settings {
    core::host_id host;
    core::data_centre_id data_centre;
    struct {
        core::endpoint callers;
        core::endpoint ready;
        core::endpoint peers; ///< The inner protocol.
        std::optional<core::endpoint> metrics;
    } listen;
    struct {
        core::endpoint address;
        std::string stream; ///< The cell's own records.
    } log;
    std::optional<core::endpoint> advisor;
    struct {
        core::milliseconds longest_lease{10000}; ///< Workers shorten longer ones.
        core::milliseconds stop_time{200};       ///< A worker takes at most so long to end a run.
    } workers;
    double processor_share = 0;              ///< Of one core, that this host may use; 0: not known.
    core::milliseconds shutdown_grace{6000}; ///< Between a request to stop and a kill.
    telemetry::logging_options logs;
};

/// Reads the settings of a host of a cell.
/// @param text JSON with comments.
/// @return the settings.
/// @throws core::invalid_argument with the key and what is wrong with it.
[[nodiscard]] cell_host_settings parse_cell_host_settings(const std::string& text);

/// As above, from a file.
/// @param path the file.
/// @throws core::invalid_argument also where the file cannot be read.
[[nodiscard]] cell_host_settings read_cell_host_settings(const std::string& path);

} // namespace rattanmount::settings
