#pragma once

/// @file
/// The package `release`: release notes and the pools and teams in force.
///
/// Depends on: core; the text of notes also on nlohmann-json.
/// Threads: values and pure decisions; the control thread owns the state in force.

#include "release/note_check.h"
#include "release/note_result.h"
#include "release/note_text.h"
#include "release/policy_book.h"
#include "release/policy_record.h"
#include "release/release_note.h"
