#pragma once

#include "cell/peer_calls.h"
#include "core/calls.h"
#include "core/job.h"
#include "core/outcome.h"
#include "ledger/job_entry.h"

#include <string>

namespace rattanmount::control {

/// @file
/// The answers of a shard's owner to calls about a job. Pure functions.

/// @return an answer of the owner with this state, result and reason.
[[nodiscard]] cell::owner_answer make_answer(core::answer_state state, core::outcome result,
                                             std::string reason);

/// @return a refusal: the job was not accepted and does not run.
[[nodiscard]] cell::owner_answer refused_answer(std::string reason);

/// @return the answer of an owner that does not know the outcome of the call.
[[nodiscard]] cell::owner_answer unsettled_answer(std::string reason);

/// @param existing the job that has the key.
/// @return the refusal of a key that belongs to a different job. Includes the existing job, so that the front
///         end can tell this refusal from others.
[[nodiscard]] cell::owner_answer key_conflict_answer(const core::job_spec& existing);

/// @return the recorded status of a job. Why its tasks wait is not recorded, so that reason stays empty.
[[nodiscard]] cell::owner_answer recorded_answer(const ledger::job_entry& entry);

} // namespace rattanmount::control
