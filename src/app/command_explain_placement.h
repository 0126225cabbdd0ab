#pragma once

#include "app/command_arguments.h"

namespace rattanmount::app {

/// `rattanmount explain-placement`: says where a job would go now, and why, without submitting it.
/// @param call the arguments and the hooks.
/// @return `ok` if tasks could start now, `not_run` if it would wait.
exit_code run_explain_placement(const command_call& call);

} // namespace rattanmount::app
