#pragma once

/// @file
/// The package `settings`: the settings of an entry host, read from JSON with comments and checked.
///
/// There are the settings of two programs: host_settings for the entry host, and cell_host_settings for the
/// host of a cell with one leader.
///
/// Depends on: core, telemetry (for the options of its logs), nlohmann-json.
/// Threads: values and plain functions; read once at start, then shared as constants.

#include "settings/host_settings.h"
#include "settings/settings_error.h"
#include "settings/settings_reader.h"
