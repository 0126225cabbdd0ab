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

struct traffic_pool_options {
    std::string name; ///< For error texts.
    std::size_t threads = 4;
};

/// Threads that carry out orders of the control thread, one blocking call each.
///
/// The number of orders that wait is bounded by whoever gives them. Owned by the entry host; any thread may
/// post.
class traffic_pool {
public:
    explicit traffic_pool(traffic_pool_options options);
    ~traffic_pool();
    traffic_pool(const traffic_pool&) = delete;
    traffic_pool& operator=(const traffic_pool&) = delete;

    /// Queues work; after stop() it is dropped.
    /// @param work called once by one of the threads; an exception from it is logged and ends only that work.
    void post(std::function<void()> work);

    /// Lets the work at hand end, drops what waits, and joins the threads.
    void stop();

    /// @return how much waits to be carried out.
    [[nodiscard]] std::size_t waiting() const;

private:
    void run();

    traffic_pool_options options;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> queue;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace rattanmount::app
