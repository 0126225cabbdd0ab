#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/circuit_breaker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::routing {

/// An executor of the shard. The owner of the shard accounts for its slots.
struct executor_info {
    core::executor_id name;
    core::endpoint address;
    core::service_id service;
    std::uint32_t slots = 0;
};

/// A slot that is reserved for one request.
struct slot {
    std::uint64_t grant = 0;
    core::executor_id executor;
    core::endpoint address;
};

/// How the request that held a slot ended.
enum class slot_end : std::uint8_t {
    answered, ///< A complete answer arrived.
    unsent,   ///< Not sent, or its end was never reported; says nothing about the executor's health.
    refused,  ///< The executor refused it or could not be reached; the request has not run.
    lost      ///< No complete answer arrived; the request may still run until its time limit.
};

struct slot_table_options {
    /// Added to a request's time limit before its slot is freed without a report of its end.
    core::milliseconds release_margin{500};
    circuit_breaker_options circuit; ///< Circuit breaker of each executor.
    /// Called when an executor's circuit opens (true) or closes (false); may be empty.
    std::function<void(const core::executor_id&, bool open)> on_circuit_change;
};

/// Accounts for the slots of the executors of one shard, on behalf of the shard's owner.
///
/// Every request from any entry host to these executors must reserve a slot here first. A slot is freed when
/// its user reports that the request has ended, or when the request's time limit plus release_margin has
/// passed. No slot is reserved on an executor whose circuit is open. Owned by the control thread.
class slot_table {
public:
    explicit slot_table(slot_table_options options);

    /// Replaces the list of executors that may get new requests. Requests on removed executors keep running.
    void set_executors(const std::vector<executor_info>& executors);

    /// Reserves no slots before a time, because slots granted by the previous owner may still be in use.
    /// @param until when the time limits of all requests granted by that owner have certainly passed.
    void hold_until(core::steady_time until) { this->held_until = until; }

    /// Reserves a slot on the executor with the most free slots.
    /// @param limit the time limit of the request.
    /// @return the slot; empty if none is available.
    std::optional<slot> reserve(const core::service_id& service, core::milliseconds limit,
                                core::steady_time now);

    /// Called when a request has ended. Frees its slot unless the request may still run (slot_end::lost). An
    /// unknown grant is ignored.
    void release(std::uint64_t grant, slot_end end, core::steady_time now);

    /// Frees the slots of requests whose time limit plus release_margin has passed.
    void expire(core::steady_time now);

    /// @return the number of slots of the service that can be reserved now.
    [[nodiscard]] std::uint32_t free_slots(const core::service_id& service, core::steady_time now) const;

    /// @return the number of reserved slots of all executors.
    [[nodiscard]] std::size_t in_use() const { return this->grants.size(); }

    /// @return the services of the shard's executors.
    [[nodiscard]] std::vector<core::service_id> services() const;

private:
    struct executor_state {
        executor_info info;
        std::uint32_t used = 0;
        bool listed = false;
        circuit_breaker breaker;
        bool reported_open = false;
    };
    struct grant_state {
        core::executor_id executor;
        core::steady_time expires_at; ///< When the request has certainly ended.
        bool lost = false;            ///< Reported as slot_end::lost: the request may still run.
    };

    [[nodiscard]] static bool is_usable(const executor_state& state, const core::service_id& service,
                                        core::steady_time now);
    void update_breaker(const core::executor_id& name, slot_end end, core::steady_time now);
    void erase_grant(std::uint64_t grant);

    slot_table_options options;
    std::map<core::executor_id, executor_state> executors;
    std::map<std::uint64_t, grant_state> grants;
    std::uint64_t next_grant = 1;
    core::steady_time held_until{};
};

} // namespace rattanmount::routing
