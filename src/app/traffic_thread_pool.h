#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::app {

struct traffic_thread_pool_options {
    std::string name; ///< Names the pool in log lines.
    std::size_t threads = 4;
};

/// A thread pool for blocking calls on behalf of the control thread.
///
/// The queue has no bound of its own: the poster limits the number of outstanding calls. Owned by
/// order_runner; any thread may call post().
class traffic_thread_pool {
public:
    explicit traffic_thread_pool(traffic_thread_pool_options options);
    ~traffic_thread_pool();
    traffic_thread_pool(const traffic_thread_pool&) = delete;
    traffic_thread_pool& operator=(const traffic_thread_pool&) = delete;

    /// Queues work; after stop() the work is dropped.
    /// @param work called once on one of the threads; an exception that it throws is logged, and the thread
    ///        goes on with the next work.
    void post(std::function<void()> work);

    /// Waits for the work in progress, drops queued work, and joins the threads.
    void stop();

    /// @return the number of queued pieces of work that no thread has started.
    [[nodiscard]] std::size_t queued() const;

private:
    void run();

    traffic_thread_pool_options options;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> queue;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace rattanmount::app
