#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "telemetry/logging_options.h"

#include <cstddef>
#include <optional>
#include <string>

namespace rattanmount::settings {

/// The settings of an entry host of a cell in which one host is the leader. docs/PLATFORM-SETTINGS.md
/// describes each setting.
///
/// A value type; read once at start.
struct cell_host_settings {
    core::host_id host;
    core::data_centre_id data_centre;
    struct {
        core::endpoint callers;
        core::endpoint ready;
        core::endpoint peers; ///< For the other entry hosts, which use the inner protocol.
        std::optional<core::endpoint> metrics;
    } listen;
    struct {
        core::endpoint address;
        std::string stream;                      ///< The stream that holds the records of this cell.
        std::size_t max_record_bytes = 262144;   ///< The log stores no longer record.
        std::size_t max_request_bytes = 2097152; ///< The log takes no more bytes in one append.
    } log;
    std::optional<core::endpoint> advisor;
    struct {
        core::milliseconds longest_lease{10000}; ///< Workers shorten longer lease terms to this.
        core::milliseconds stop_time{200};       ///< The longest time that a worker takes to stop a run.
    } workers;
    /// The time within which a version of the configuration has to be in force.
    core::milliseconds max_configuration_age{2000};
    double processor_share = 0;              ///< The share of one core that this host may use; 0: not known.
    double link_mbps = 0;                    ///< Bandwidth of this host's link, in Mbit/s; 0: not known.
    core::milliseconds shutdown_grace{6000}; ///< The time between a request to stop and a kill.
    telemetry::logging_options logs;
};

/// Parses the settings of an entry host.
/// @param text JSON with comments.
/// @throws core::invalid_argument naming the first invalid key and what is wrong with it; if the text is not
///         valid JSON, only what is wrong.
[[nodiscard]] cell_host_settings parse_cell_host_settings(const std::string& text);

/// Reads the settings of an entry host from a file.
/// @throws core::invalid_argument as parse_cell_host_settings() does, and if the file cannot be read.
[[nodiscard]] cell_host_settings read_cell_host_settings(const std::string& path);

} // namespace rattanmount::settings
