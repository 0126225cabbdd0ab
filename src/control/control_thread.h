#pragma once

#include "control/event_queue.h"
#include "control/host_control.h"
#include "core/time.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>

namespace rattanmount::control {

/// An event for the control thread, as the call of host_control that processes it.
using control_event = std::function<void(host_control&, core::steady_time now)>;

struct control_thread_options {
    std::size_t queue_capacity = 20000;
    core::milliseconds tick_interval{20}; ///< Maximum time between two calls of host_control::tick.
    core::clock_hooks clock;
};

/// The thread that owns all control state of an entry host.
///
/// Other threads access the state only by posting events. Owned by the entry host; the thread runs from
/// construction to stop().
class control_thread {
public:
    /// @param state the control state, which no other thread may access from now on.
    /// @param before_start called before the thread starts, so that the hooks learn where to post replies;
    ///        may be empty.
    control_thread(control_thread_options options, host_control& state,
                   const std::function<void(control_thread&)>& before_start);
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Queues a new request. May be called by any thread.
    /// @return false if the queue is full; the request was not taken.
    bool request(control_event event);

    /// Queues a reply to an order of the control thread. May be called by any thread.
    void reply(control_event event);

    /// Stops the thread after the current event. May be called by any thread but the control thread.
    void stop();

private:
    void run();

    control_thread_options options;
    host_control& state;
    event_queue<control_event> queue;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace rattanmount::control
