#pragma once

/// @file
/// The package `app`: the command line, and the entry host that it assembles from the other packages.
///
/// Depends on: all other packages, cxxopts.
/// Threads: the command line runs on the main thread; the command `timeline` reads each host on its own
/// thread.

#include "app/command_arguments.h"
#include "app/command_hooks.h"
#include "app/command_line.h"
#include "app/event_gathering.h"
#include "app/exit_code.h"
#include "app/job_text.h"
#include "app/job_wait.h"
