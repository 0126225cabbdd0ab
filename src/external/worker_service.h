#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::external {

/// An attempt as reported by its worker.
struct inventory_item {
    core::attempt_id attempt;
    core::resources each;                 ///< The resources that it is allocated on the worker.
    std::optional<core::attempt_end> end; ///< Empty while it is running.
    core::milliseconds run_time{0};       ///< So far if it is running, otherwise in total.
    core::resources used;                 ///< Measured peak usage, which lags behind; all 0 until known.
    bool checkpointed = false;            ///< Its progress would survive a stop now.
};

struct lease_request {
    core::incarnation_id holder;
    core::lease_id renew;       ///< The lease to renew; 0 asks for a new one.
    core::milliseconds term{0}; ///< How long the lease lasts, counted from when the worker grants it.
    std::vector<core::attempt_id> forget; ///< Recorded ended attempts to remove from the inventory.
};

enum class lease_verdict : std::uint8_t {
    granted,
    held,       ///< Another holder's lease has not expired.
    unreachable ///< No valid answer arrived; a lease may have been granted.
};

struct lease_reply {
    lease_verdict verdict = lease_verdict::unreachable;
    core::lease_id lease;                  ///< If granted.
    core::milliseconds remaining{0};       ///< If held: the time until the other lease expires.
    std::vector<inventory_item> inventory; ///< If granted: all attempts running or not yet forgotten.
};

enum class start_verdict : std::uint8_t {
    started,
    refused, ///< Not started: the lease expired, no capacity is free, or the worker is leaving or faulty.
    unknown  ///< It may have started; the next inventory shows whether it did.
};

struct start_reply {
    start_verdict verdict = start_verdict::unknown;
    std::string reason;
};

/// An action on a running attempt.
enum class attempt_action : std::uint8_t { stop, checkpoint, throttle };

/// The calls that a worker serves, as hooks. Blocking; any traffic thread may call them.
///
/// A worker refuses a start or an action under any lease other than the current one. Starting an attempt that
/// it already has is idempotent and returns `started`. After the lease expires, tasks keep running for the
/// platform's hold time, so that a new holder can adopt them; then the worker stops them.
struct worker_service {
    std::function<lease_reply(const core::endpoint&, const lease_request&, core::milliseconds timeout)> lease;
    std::function<start_reply(const core::endpoint&, core::lease_id, const core::attempt_id&,
                              const core::resources& each, const std::string& payload,
                              core::milliseconds timeout)>
        start;
    std::function<start_reply(const core::endpoint&, core::lease_id, const core::attempt_id&, attempt_action,
                              core::milliseconds timeout)>
        act;
};

} // namespace rattanmount::external
