#include "runtime/elastic_pool.h"

#include "telemetry/logging.h"

#include <exception>
#include <utility>

namespace rattanmount::runtime {

elastic_pool::~elastic_pool() {
    this->stop();
}

void elastic_pool::post(std::function<void()> work) {
    std::unique_lock lock{this->mutex};
    if (this->stopping) {
        return;
    }
    this->queue.push_back(std::move(work));
    if (this->idle < this->queue.size() && this->threads.size() < this->options.max_threads) {
        const auto self = this->threads.emplace(this->threads.end());
        *self = std::thread{[this, self] { this->run(self); }};
    }
    this->changed.notify_one();
    this->join_ended(lock);
}

void elastic_pool::stop() {
    std::unique_lock lock{this->mutex};
    this->stopping = true;
    this->queue.clear();
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return this->threads.empty(); });
    this->join_ended(lock);
}

void elastic_pool::run(std::list<std::thread>::iterator self) {
    std::unique_lock lock{this->mutex};
    while (true) {
        this->idle++;
        this->changed.wait_for(lock, this->options.idle_limit,
                               [this] { return this->stopping || !this->queue.empty(); });
        this->idle--;
        if (this->queue.empty()) {
            break;
        }
        auto work = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        try {
            work();
        } catch (const std::exception& error) {
            telemetry::log_state("work on a pool thread threw an exception", {{"reason", error.what()}},
                                 telemetry::log_level::error);
        }
        work = nullptr;
        lock.lock();
    }
    this->ended.splice(this->ended.end(), this->threads, self);
    this->changed.notify_all();
}

void elastic_pool::join_ended(std::unique_lock<std::mutex>& lock) {
    std::list<std::thread> done;
    done.swap(this->ended);
    lock.unlock();
    for (auto& thread : done) {
        thread.join();
    }
    lock.lock();
}

} // namespace rattanmount::runtime
