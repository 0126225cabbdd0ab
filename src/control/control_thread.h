#pragma once

#include "control/event_queue.h"
#include "control/host_control.h"
#include "core/time.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>

namespace rattanmount::control {

/// Something that happened, as the call of host_control that takes it.
using control_event = std::function<void(host_control&, core::steady_time now)>;

struct control_thread_options {
    std::size_t queue_capacity = 20000;
    core::milliseconds tick_interval{20}; ///< How often host_control::tick is called at least.
    core::clock_hooks clock;
};

/// The one thread that owns all control state of an entry host.
///
/// Other threads reach the state only by posting events. Owned by the entry host; the thread runs from
/// construction to stop().
class control_thread {
public:
    /// @param options how it runs.
    /// @param state the control state, which no other thread may touch from now on.
    /// @param before_start called before the thread runs, to tell where replies go; may be empty.
    control_thread(control_thread_options options, host_control& state,
                   const std::function<void(control_thread&)>& before_start);
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Queues a new request. Any thread.
    /// @param event the request.
    /// @return false where too much is waiting already: the request was not taken.
    bool request(control_event event);

    /// Queues a reply to what the control thread ordered. Any thread.
    /// @param event the reply.
    void reply(control_event event);

    /// Ends the thread after the event it is at. Any thread but the control thread.
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
