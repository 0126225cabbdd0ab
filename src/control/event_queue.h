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
/// Any thread may push; one thread pops. Replies to what the control thread itself ordered use push_always,
/// since their number is bounded by the orders; new requests use try_push and are shed when it is full.
/// @tparam Event what is queued.
template <typename Event>
class event_queue {
public:
    /// @param capacity how many events may wait before try_push refuses.
    explicit event_queue(std::size_t capacity) : capacity(capacity) {}

    /// @param event what to queue.
    /// @return false where the queue is full or closed; the event is dropped.
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

    /// Queues beyond the capacity too; only after close() the event is dropped.
    /// @param event what to queue.
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
    /// @param until when to give up.
    /// @return all that wait, in order; empty at the time given or when the queue is closed.
    [[nodiscard]] std::deque<Event> pop_all(core::steady_time until) {
        std::unique_lock lock{this->mutex};
        this->changed.wait_until(lock, until, [this] { return this->closed || !this->events.empty(); });
        return std::exchange(this->events, {});
    }

    /// Ends all waiting; what is queued afterwards is dropped.
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
