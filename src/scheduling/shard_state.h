#pragma once

#include "scheduling/account_table.h"
#include "scheduling/allocation_table.h"
#include "scheduling/estimate_cache.h"
#include "scheduling/misfit_cache.h"
#include "scheduling/quarantine.h"
#include "scheduling/reservation.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/waiting_queue.h"
#include "scheduling/worker_table.h"

#include <cstdint>
#include <optional>

namespace rattanmount::scheduling {

/// The state of one shard's scheduler.
///
/// Owned by the scheduler, which passes it to the classes that decide; used on the control thread only.
struct shard_state {
    explicit shard_state(scheduler_options scheduler_settings)
        : options(std::move(scheduler_settings)), accounts(this->options),
          estimates(this->options.max_estimates),
          health({.failure_threshold = this->options.quarantine_failures,
                  .probe_delay = this->options.quarantine_time,
                  .max_share = this->options.quarantine_max_share}),
          workers(this->options.urgent_reserve), allocations(this->workers),
          queue(this->accounts, this->estimates) {}
    shard_state(const shard_state&) = delete;
    shard_state& operator=(const shard_state&) = delete;
    ~shard_state() = default;

    scheduler_options options;
    account_table accounts;
    estimate_cache estimates;
    quarantine health;
    worker_table workers;
    allocation_table allocations;
    waiting_queue queue;
    misfit_cache misfits; ///< Task sizes that fit on no worker now.
    std::optional<reservation> current_reservation;
    std::uint64_t placement_round = 0; ///< Number of scheduler::place() calls.
};

} // namespace rattanmount::scheduling
