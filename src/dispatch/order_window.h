#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>

namespace rattanmount::dispatch {

/// Limits of an order window.
struct order_window_options {
    double initial_size = 32; ///< Orders that may be in flight before anything is known.
    double least_size = 16;
    double largest_size = 1024;
    /// Round trips that exceed the shortest one by more than this show that orders queue.
    core::milliseconds queueing_target{40};
    /// Shortest time between two reductions; orders sent before a reduction say nothing about the new size.
    core::milliseconds reduction_interval{250};
};

/// Bounds the orders in flight by what they achieve, as congestion control does for a connection.
///
/// The window grows while orders are answered without queueing, and halves if a considerable part of them
/// queues or gets no answer. The queue may be at the workers, on the way, or in this host, whose processor
/// share bounds the calls that it can make. A single unreachable worker does not reduce it. Part of
/// dispatch_state; used by the control thread only.
class order_window {
public:
    order_window() : order_window(order_window_options{}) {}
    explicit order_window(order_window_options options);

    /// @return whether another order may be sent.
    [[nodiscard]] bool has_room() const { return static_cast<double>(this->in_flight) < this->size; }

    /// Called when an order is sent.
    void sent() { this->in_flight++; }

    /// Called when an order has been answered.
    /// @param taken its round trip.
    /// @param shortest the round trip of an order that does not queue.
    /// @param now the current time.
    void answered(core::steady_time::duration taken, core::steady_time::duration shortest,
                  core::steady_time now);

    /// Called when an order got no answer or could not be sent in time.
    /// @param now the current time.
    void failed(core::steady_time now);

    /// Adds a round trip, also of a call that is not one of the orders in flight.
    /// @param taken the round trip.
    void add_round_trip(core::steady_time::duration taken);

    /// @param shortest the shortest timeout.
    /// @return a timeout that leaves an order twice the usual round trip, and no less than `shortest`.
    [[nodiscard]] core::milliseconds timeout(core::milliseconds shortest) const;

    /// @return the usual round trip; 0 if there has been none.
    [[nodiscard]] core::milliseconds usual_round_trip() const;

    /// @return the number of orders that may be in flight.
    [[nodiscard]] std::size_t limit() const { return static_cast<std::size_t>(this->size); }

    /// @return the number of orders in flight.
    [[nodiscard]] std::size_t count() const { return this->in_flight; }

private:
    void finish();
    void count_result(bool queued, bool lost, core::steady_time now);
    void reduce(core::steady_time now);

    order_window_options options;
    double size;
    std::size_t in_flight = 0;
    bool reduced = false; ///< Whether the window has ever been reduced; until then it grows faster.
    core::steady_time reduced_at;
    std::size_t results = 0; ///< Orders of this round that have been answered or failed.
    std::size_t queued_results = 0;
    std::size_t lost_results = 0;
    std::optional<core::steady_time::duration> smoothed;
};

} // namespace rattanmount::dispatch
