#pragma once

#include "scheduling/account_book.h"
#include "scheduling/estimator.h"
#include "scheduling/fit_memory.h"
#include "scheduling/holding_table.h"
#include "scheduling/quarantine.h"
#include "scheduling/reservation.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/waiting_queue.h"
#include "scheduling/worker_table.h"

#include <cstdint>
#include <optional>

namespace rattanmount::scheduling {

/// Everything that the decisions of one shard rest on.
///
/// Owned by the scheduler, which lends it to one decision at a time; the control thread only.
struct shard_state {
    explicit shard_state(scheduler_options chosen)
        : options(std::move(chosen)), accounts(this->options), estimates(this->options.remembered_estimates),
          health({.failures = this->options.quarantine_failures,
                  .time = this->options.quarantine_time,
                  .max_share = this->options.quarantine_max_share}),
          workers(this->options.urgent_reserve), holdings(this->workers),
          queue(this->accounts, this->estimates) {}
    shard_state(const shard_state&) = delete;
    shard_state& operator=(const shard_state&) = delete;
    ~shard_state() = default;

    scheduler_options options;
    account_book accounts;
    estimator estimates;
    quarantine health;
    worker_table workers;
    holding_table holdings;
    waiting_queue queue;
    fit_memory failures; ///< Sizes that fit on no worker now.
    std::optional<reservation> reserved;
    std::uint64_t pass = 0; ///< Counts calls of place().
};

} // namespace rattanmount::scheduling
