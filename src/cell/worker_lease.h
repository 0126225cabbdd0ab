#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "external/worker_service.h"

#include <optional>
#include <vector>

namespace rattanmount::cell {

struct lease_options {
    core::incarnation_id holder;
    core::milliseconds term{6000}; ///< Duration of a lease, counted from when the worker grants it.
    core::milliseconds renew_interval{2000};
    /// Grace period for running tasks after their worker's lease has expired.
    core::milliseconds task_hold{10000};
    core::milliseconds timeout{1000}; ///< Of one lease call.
    /// Maximum drift between two clocks over a term and a grace period.
    core::milliseconds clock_drift{100};
    /// Consecutive unanswered calls after which the lease is left to expire.
    std::uint32_t max_failures = 2;
};

/// The holder's side of one worker's lease: when to renew, whether the lease is in force, and whether it has
/// certainly expired.
///
/// Poll request_due(), send next_request() and pass the reply to on_reply(). A start may be sent only before
/// start_deadline(), compared with the steady clock just before the send. All times count from when a call
/// was sent, never from its answer. Owned by the control thread.
class worker_lease {
public:
    explicit worker_lease(lease_options options);

    /// @return whether next_request() should be sent now.
    [[nodiscard]] bool request_due(core::steady_time now) const;

    /// Begins a call. No other call is due until its reply arrives or twice its timeout has passed.
    /// @param now when the call is sent.
    /// @param forget ended attempts that the worker may drop from its inventory.
    /// @return the request to send.
    external::lease_request next_request(core::steady_time now, std::vector<core::attempt_id> forget);

    /// Processes the reply to the call that was sent at `sent`.
    /// @param reply the reply, or `unreachable`.
    /// @return whether the reply grants the lease and belongs to the newest call.
    bool on_reply(const external::lease_reply& reply, core::steady_time sent, core::steady_time now);

    /// @return whether starts may be sent now.
    [[nodiscard]] bool held(core::steady_time now) const;

    /// @return the lease in force; 0 before the first.
    [[nodiscard]] core::lease_id lease() const { return this->current; }

    /// @return the time before which a start under this lease must be sent.
    [[nodiscard]] core::steady_time start_deadline() const;

    /// @return whether a lease was ever granted to this holder.
    [[nodiscard]] bool ever_held() const { return this->last_granted.has_value(); }

    /// @return whether every task started under a lease of this holder has certainly ended, unless a newer
    ///        inventory lists it.
    [[nodiscard]] bool tasks_surely_ended(core::steady_time now) const;

    /// Makes the next request ask for a new lease, which invalidates all starts sent under the old one.
    void require_new_lease() { this->needs_new_lease = true; }

    /// @return whether a new lease is wanted and has not been granted yet.
    [[nodiscard]] bool new_lease_required() const { return this->needs_new_lease; }

    /// Makes a request due at once, to fetch the inventory.
    void request_now() { this->next_due = core::steady_time{}; }

    /// @return the earliest time at which request_due() can become true.
    [[nodiscard]] core::steady_time next_due_at() const { return this->next_due; }

private:
    [[nodiscard]] core::milliseconds expiry_time() const;
    void on_granted(const external::lease_reply& reply, core::steady_time sent);
    void on_unreachable();

    lease_options options;
    core::lease_id current;
    std::optional<core::steady_time> last_granted; ///< When the newest granted call was sent.
    std::optional<core::steady_time> last_sent;    ///< When the newest call was sent, granted or not.
    std::optional<core::steady_time> in_flight;
    core::steady_time next_due{};
    std::uint32_t failures = 0;
    bool needs_new_lease = false;
    bool new_lease_in_flight = false;
};

} // namespace rattanmount::cell
