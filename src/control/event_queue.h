#pragma once

#include "core/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace rattanmount::control {

/// A bounded queue from many traffic threads to the control thread.
///
/// Any thread may push; one thread pops. Replies to the control thread's own orders use push_always(),
/// because the orders bound their number. New requests use try_push() and are shed when the queue is full.
template <typename Event>
class event_queue {
public:
    /// @param capacity the number of queued events at which try_push() refuses more.
    explicit event_queue(std::size_t capacity) : capacity(capacity) {}

    /// @return false if the queue is full or closed; the event is then dropped.
    bool try_push(Event event) {
        {
            const std::lock_guard guard{this->mutex};
            if (this->closed || this->events.size() >= this->capacity) {
                return false;
            }
            this->events.push_back(std::move(event));
        }
        this->changed.notify_one();
        return true;
    }

    /// Queues an event even beyond the capacity. The event is dropped only after close().
    void push_always(Event event) {
        {
            const std::lock_guard guard{this->mutex};
            if (this->closed) {
                return;
            }
            this->events.push_back(std::move(event));
        }
        this->changed.notify_one();
    }

    /// Waits for events.
    /// @param until the time at which to stop waiting.
    /// @return all queued events in order; empty if the time has passed or the queue is closed.
    [[nodiscard]] std::deque<Event> pop_all(core::steady_time until) {
        std::unique_lock lock{this->mutex};
        this->changed.wait_until(lock, until, [this] { return this->closed || !this->events.empty(); });
        return std::exchange(this->events, {});
    }

    /// Ends all waiting; events that are queued afterwards are dropped.
    void close() {
        {
            const std::lock_guard guard{this->mutex};
            this->closed = true;
        }
        this->changed.notify_all();
    }

private:
    const std::size_t capacity;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Event> events;
    bool closed = false;
};

} // namespace rattanmount::control
