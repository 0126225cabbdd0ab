#pragma once

#include "core/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace rattanmount::runtime {

struct elastic_pool_options {
    std::size_t max_threads = 128;
    core::milliseconds idle_limit{10000}; ///< A thread ends after this time without work.
};

/// A thread pool for blocking calls that grows with the number of concurrent calls, up to a limit.
///
/// Owned by the component that uses it. Any thread may call post().
class elastic_pool {
public:
    explicit elastic_pool(elastic_pool_options options) : options(options) {}
    ~elastic_pool();
    elastic_pool(const elastic_pool&) = delete;
    elastic_pool& operator=(const elastic_pool&) = delete;

    /// Queues work; drops it after stop().
    /// @param work called once; an exception from it is logged and does not affect other work.
    void post(std::function<void()> work);

    /// Drops queued work, waits for the work in progress, and joins the threads.
    void stop();

private:
    void run(std::list<std::thread>::iterator self);
    void join_ended(std::unique_lock<std::mutex>& lock);

    elastic_pool_options options;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> queue;
    std::list<std::thread> threads;
    std::list<std::thread> ended; ///< Ended threads that must still be joined.
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace rattanmount::runtime
