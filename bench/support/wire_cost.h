#pragma once

#include "cell/peer_view.h"
#include "control/host_hooks.h"
#include "external/log_service.h"
#include "external/worker_service.h"

#include <cstdint>
#include <string>

namespace rattanmount::bench {

/// The bytes of a call, without TCP/IP headers.
struct call_bytes {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Computes the bytes that each call of the control thread sends and receives.
///
/// The constructor makes calls through the product's clients to stand-ins on loopback and derives from the
/// counters of the clients what a call adds to its body and what an answer adds for each task or entry. The
/// codecs give the sizes of the bodies. Owned by a benchmark; used by one thread.
class wire_cost {
public:
    /// @throws std::runtime_error if a stand-in refuses a call.
    wire_cost();

    [[nodiscard]] call_bytes lease(const control::lease_order& order,
                                   const external::lease_reply& reply) const;
    [[nodiscard]] call_bytes start(const control::start_order& order) const;
    [[nodiscard]] call_bytes append(const std::string& bytes) const;
    [[nodiscard]] call_bytes read(const external::read_reply& reply) const;
    [[nodiscard]] call_bytes heartbeat(const cell::peer_view& sent, const cell::peer_view& answered) const;
    /// Returns the bytes of a poll when the fleet list has not changed.
    [[nodiscard]] call_bytes fleet() const { return this->fleet_poll; }

private:
    void measure_worker();
    void measure_log();
    void measure_fleet();

    call_bytes lease_base;                    ///< Sent without the body; received without tasks.
    std::uint64_t bytes_per_listed_task = 0;  ///< Received for each task in an inventory.
    call_bytes start_base;                    ///< Sent without the body.
    call_bytes append_base;                   ///< Sent without the entry.
    call_bytes empty_read;                    ///< A read that returns no entries.
    std::uint64_t bytes_per_listed_entry = 0; ///< Received for each entry of a read, without its base64 data.
    call_bytes fleet_poll;                    ///< A poll of an unchanged list.
};

} // namespace rattanmount::bench
