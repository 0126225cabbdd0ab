#include "control/runner_parts.h"

namespace rattanmount::control {

void runner_parts::report_event(telemetry::event_kind kind, const core::job_id& job,
                                const core::worker_id& worker, const std::string& detail) const {
    this->hooks.on_change(kind, {.job = job.key.empty() ? std::string{} : job.text(),
                                 .worker = worker,
                                 .shard = this->shard,
                                 .detail = detail});
}

} // namespace rattanmount::control
