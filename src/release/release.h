#pragma once

/// @file
/// The package `release`: release notes and the pools and teams in force.
///
/// Depends on: core.
/// Threads: values and pure decisions; the control thread owns the state in force.

#include "release/release_note.h"
