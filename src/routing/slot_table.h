#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/circuit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::routing {

/// An executor whose slots the owner of its shard counts.
struct executor_info {
    core::executor_id name;
    core::endpoint address;
    core::service_id service;
    std::uint32_t slots = 0;
};

/// A slot that is set aside for one request.
struct slot {
    std::uint64_t grant = 0;
    core::executor_id executor;
    core::endpoint address;
};

/// How a request that had a slot ended.
enum class slot_end : std::uint8_t {
    answered, ///< With a whole answer.
    unsent,   ///< It was not sent; says nothing of the executor.
    refused,  ///< The executor did not take it or was not reached; it has not run.
    lost      ///< Without a whole answer; it may still run until its limit.
};

struct slot_table_options {
    core::milliseconds release_margin{500}; ///< Beyond a lost request's limit before its slot is free again.
    circuit_options circuit;                ///< Of each executor.
    /// Told of a circuit that opens (true) or closes (false); may be empty.
    std::function<void(const core::executor_id&, bool open)> on_circuit;
};

/// Counts the slots of the executors of one shard, for its owner.
///
/// Every request of every entry host to these executors has a slot reserved here first. A slot is free again
/// when its user says that the request is over, or when the request's own limit has passed by a margin. An
/// executor whose circuit is open gets none. Owned by the control thread.
class slot_table {
public:
    explicit slot_table(slot_table_options options);

    /// @param executors those that may be given new requests; requests on others run on.
    void set_executors(const std::vector<executor_info>& executors);

    /// Gives no slot before a time: what a former owner granted may still be in use.
    /// @param until when all of its requests have surely passed their limits.
    void hold_until(core::steady_time until) { this->held_until = until; }

    /// Sets a slot aside on the executor with the most free ones.
    /// @param service the service asked for.
    /// @param limit how long the request may take at most.
    /// @param now the time.
    /// @return the slot, or empty where all are in use.
    std::optional<slot> reserve(const core::service_id& service, core::milliseconds limit,
                                core::steady_time now);

    /// Takes note of how a request ended, and frees its slot unless it may still run. A grant that is not
    /// known is passed over.
    /// @param grant the slot's grant.
    /// @param how how its request ended.
    /// @param now the time.
    void release(std::uint64_t grant, slot_end how, core::steady_time now);

    /// Frees the slots of requests whose limits have passed.
    /// @param now the time.
    void expire(core::steady_time now);

    /// @param service a service.
    /// @param now the time.
    /// @return how many slots of it are free.
    [[nodiscard]] std::uint32_t free_slots(const core::service_id& service, core::steady_time now) const;

    /// @return how many slots are in use, over all executors.
    [[nodiscard]] std::size_t in_use() const { return this->grants.size(); }

    /// @return the services of the shard's executors.
    [[nodiscard]] std::vector<core::service_id> services() const;

private:
    struct executor_state {
        executor_info info;
        std::uint32_t used = 0;
        bool listed = false;
        circuit health;
        bool circuit_known_open = false;
    };
    struct grant_state {
        core::executor_id executor;
        core::steady_time over; ///< When the request has surely ended.
        bool lost = false;      ///< Its end was reported, and it may still run.
    };

    [[nodiscard]] static bool usable(const executor_state& state, const core::service_id& service,
                                     core::steady_time now);
    void judge(const core::executor_id& name, slot_end how, core::steady_time now);
    void free(std::uint64_t grant);

    slot_table_options options;
    std::map<core::executor_id, executor_state> executors;
    std::map<std::uint64_t, grant_state> grants;
    std::uint64_t next_grant = 1;
    core::steady_time held_until{};
};

} // namespace rattanmount::routing
