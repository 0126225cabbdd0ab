#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::routing {

/// A quick request that waits for a slot.
struct waiting_request {
    std::uint64_t ticket = 0;            ///< Names it to its owner.
    std::optional<core::shard_id> shard; ///< The only one whose slots it may have; empty: any.
    core::pool_id pool;
    core::team_id team;
    core::service_id service;
    bool urgent = false;
    std::uint32_t priority = 0;   ///< Of the pool; the greater goes first.
    core::steady_time deadline{}; ///< Of the caller.
};

struct admission_queue_options {
    std::size_t pool_limit = 1000;      ///< Requests of one pool that wait at most.
    core::milliseconds shortest_run{1}; ///< With less time left, a request cannot be served any more.
};

/// The quick requests that wait for a slot at one entry host: bounded per pool, in order of urgency and
/// priority, and fair over teams.
///
/// It decides and does nothing else: what it drops or hands out is for its owner to answer. Owned by the
/// slot_broker; the control thread only.
class admission_queue {
public:
    explicit admission_queue(admission_queue_options options);

    /// @param request a request that no slot is free for.
    /// @return false where its pool's queue is full or its time is over: it does not wait.
    /// @param now the time. Call drop_hopeless() first, so that nobody is shed for the sake of the hopeless.
    bool push(const waiting_request& request, core::steady_time now);

    /// Takes out what cannot be served in time any more.
    /// @param now the time.
    /// @return the tickets.
    std::vector<std::uint64_t> drop_hopeless(core::steady_time now);

    /// Takes one request out, whose caller waits no longer.
    /// @param ticket its ticket; one that is not known is passed over.
    void remove(std::uint64_t ticket);

    /// Hands out slots as long as there are any.
    /// @param serve called for the next request in turn; true: it got its slot and waits no longer.
    void hand_out(const std::function<bool(const waiting_request&)>& serve);

    /// @param service a service.
    /// @return whether a request for it waits that may have any shard's slots.
    [[nodiscard]] bool waits_for(const core::service_id& service) const;

    /// @return how many wait.
    [[nodiscard]] std::size_t size() const { return this->waiting; }

private:
    /// Requests that take their turn together; first in, first out.
    struct lane {
        std::deque<waiting_request> requests;
    };
    struct lane_key {
        bool urgent = false;
        std::uint32_t priority = 0;
        core::pool_id pool;
        core::team_id team;
        core::service_id service;
        std::optional<core::shard_id> shard;

        friend auto operator<=>(const lane_key&, const lane_key&) = default;
    };

    [[nodiscard]] bool hopeless(const waiting_request& request, core::steady_time now) const;
    [[nodiscard]] std::vector<lane_key> turns() const;
    void forget(const waiting_request& request);
    void trim();

    admission_queue_options options;
    std::map<lane_key, lane> lanes;
    std::map<core::pool_id, std::size_t> pool_sizes;
    std::map<core::team_id, std::uint64_t> served_at; ///< The turn at which a waiting team was served last.
    std::uint64_t turn = 0;
    std::size_t waiting = 0;
};

} // namespace rattanmount::routing
