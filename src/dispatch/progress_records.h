#pragma once

#include "dispatch/live_job.h"
#include "workflow/records.h"

#include <cstdint>
#include <vector>

namespace rattanmount::dispatch {

/// Notes that the recorded progress of a task has changed.
/// @param step the step of the task; if it is a gang, all of its tasks count as changed.
/// @param task the index of the task.
void add_changed_part(live_step& step, std::uint32_t task);

/// Returns the records that the changes of a job since the last call need: those of changed parts, then that
/// of the job if it has changed, then deletions of parts that no longer count. They may be stored one after
/// the other: the first ones are valid without the others.
///
/// An occurrence of which all tasks are done, without runs left, is removed from the job and from then on
/// recorded by one bit.
/// @param job the job.
/// @param epoch the epoch in which this host leads.
[[nodiscard]] std::vector<workflow::cell_record> take_changed_records(live_job& job, core::epoch_id epoch);

/// Makes take_changed_records() return all records of a job again.
void forget_recorded_progress(live_job& job);

} // namespace rattanmount::dispatch
