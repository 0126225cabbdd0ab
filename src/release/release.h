#pragma once

/// @file
/// The package `release`: release notes, and the policies of pools and teams that they change.
///
/// Depends on: core; the text format of notes also on nlohmann-json.
/// Threads: value types and pure functions; the control thread owns the registry in force.

#include "release/note_result.h"
#include "release/note_text.h"
#include "release/note_validation.h"
#include "release/policy_record.h"
#include "release/policy_registry.h"
#include "release/release_note.h"
