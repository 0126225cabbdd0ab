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

/// A quick request that is queued until a slot is free.
struct waiting_request {
    std::uint64_t ticket = 0;            ///< Identifies the request to the owner of the queue.
    std::optional<core::shard_id> shard; ///< If set, only a slot of this shard may be assigned.
    core::pool_id pool;
    core::team_id team;
    core::service_id service;
    bool urgent = false;
    std::uint32_t priority = 0;   ///< Priority of the pool; higher is served first.
    core::steady_time deadline{}; ///< When the caller's time limit ends.
};

struct admission_queue_options {
    std::size_t pool_limit = 1000; ///< Largest number of queued requests per pool.
    /// A request with less time left before its deadline counts as expired.
    core::milliseconds min_run_time{1};
};

/// Queue of the quick requests of one entry host that wait for a slot. Bounded per pool, ordered by urgency
/// and priority, and fair between teams.
///
/// The queue only decides. Its owner answers the requests that are dropped or get a slot. Owned by
/// slot_broker and used on the control thread only.
class admission_queue {
public:
    explicit admission_queue(admission_queue_options options);

    /// Queues a request for which no slot is free. Call drop_expired() first, so that expired requests do not
    /// take up the pool's limit and cause this one to be shed.
    /// @return false, without queueing it, if the pool's limit is reached or the request has expired.
    bool push(const waiting_request& request, core::steady_time now);

    /// Removes all requests that can no longer be served before their deadline.
    /// @return the tickets of the removed requests.
    std::vector<std::uint64_t> drop_expired(core::steady_time now);

    /// Removes a request whose caller no longer waits. An unknown ticket is ignored.
    void remove(std::uint64_t ticket);

    /// Assigns free slots to queued requests until no queued request can get one.
    /// @param try_assign called with the first request of each lane, in service order; returns whether the
    ///        request got a slot, in which case it is removed from the queue.
    void assign_slots(const std::function<bool(const waiting_request&)>& try_assign);

    /// @return whether a request for the service is queued that accepts a slot of any shard.
    [[nodiscard]] bool has_waiting(const core::service_id& service) const;

    /// @return the number of queued requests.
    [[nodiscard]] std::size_t size() const { return this->waiting; }

private:
    /// Requests with the same lane_key, first in, first out.
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

    [[nodiscard]] bool is_expired(const waiting_request& request, core::steady_time now) const;
    [[nodiscard]] std::vector<lane_key> lanes_in_service_order() const;
    void remove_from_counts(const waiting_request& request);
    void erase_empty_lanes();

    admission_queue_options options;
    std::map<lane_key, lane> lanes;
    std::map<core::pool_id, std::size_t> pool_sizes;
    std::map<core::team_id, std::uint64_t>
        last_served; ///< Per team with queued requests: serve_count when it last got a slot.
    std::uint64_t serve_count = 0;
    std::size_t waiting = 0;
};

} // namespace rattanmount::routing
