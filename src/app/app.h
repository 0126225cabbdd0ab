#pragma once

/// @file
/// The package `app`: the command line, and the entry host that it assembles from the other packages. The
/// program also runs a host on the users' platform; main.cpp passes that one in as a hook.
///
/// Depends on: all other packages, cxxopts.
/// Threads: the command line runs on the main thread; the command `timeline` reads each host on its own
/// thread. An entry host has a control thread, pools of traffic threads for its orders, and the threads of
/// its servers.

#include "app/cell_command.h"
#include "app/command_arguments.h"
#include "app/command_hooks.h"
#include "app/command_line.h"
#include "app/event_gathering.h"
#include "app/exit_code.h"
#include "app/job_text.h"
#include "app/job_wait.h"
