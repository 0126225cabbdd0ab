#pragma once

#include "control/runner_parts.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/worker_service.h"
#include "scheduling/placement.h"

#include <memory>

namespace rattanmount::control {

/// Starts placed tasks: records each attempt, sends its start under the worker's lease when the record is
/// stored, and processes the reply.
///
/// Owned by job_runner; used by the control thread only.
class attempt_starter {
public:
    /// @param parts the state of the runner; must outlive this object.
    explicit attempt_starter(const runner_parts& parts);

    /// Begins an attempt for a placed task and records it. Drops the placement if its job has ended.
    void begin(const scheduling::placement& placement, core::steady_time now);

    /// Sends the starts whose records are stored, and ends the attempts that can no longer be sent.
    void send_due(core::steady_time now);

    /// Processes the reply to a start.
    void on_reply(const core::attempt_id& attempt, const external::start_reply& reply, core::steady_time now);

private:
    void send(const core::attempt_id& attempt, attempt_state& state, core::steady_time now);

    const runner_parts& parts;
    /// Callbacks that may come after this object is destroyed hold a weak reference to it.
    std::shared_ptr<bool> lifetime_token = std::make_shared<bool>(true);
};

} // namespace rattanmount::control
