#include "app/traffic_thread_pool.h"

#include <spdlog/spdlog.h>

#include <exception>
#include <utility>

namespace rattanmount::app {

traffic_thread_pool::traffic_thread_pool(traffic_thread_pool_options options) : options(std::move(options)) {
    for (std::size_t index = 0; index < this->options.threads; ++index) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

traffic_thread_pool::~traffic_thread_pool() {
    this->stop();
}

void traffic_thread_pool::post(std::function<void()> work) {
    {
        const std::lock_guard guard{this->mutex};
        if (this->stopping) {
            return;
        }
        this->queue.push_back(std::move(work));
    }
    this->changed.notify_one();
}

void traffic_thread_pool::stop() {
    {
        const std::lock_guard guard{this->mutex};
        this->stopping = true;
        this->queue.clear();
    }
    this->changed.notify_all();
    for (auto& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::size_t traffic_thread_pool::queued() const {
    const std::lock_guard guard{this->mutex};
    return this->queue.size();
}

void traffic_thread_pool::run() {
    while (true) {
        std::function<void()> work;
        {
            std::unique_lock lock{this->mutex};
            this->changed.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
            if (this->stopping) {
                return;
            }
            work = std::move(this->queue.front());
            this->queue.pop_front();
        }
        try {
            work();
        } catch (const std::exception& error) {
            spdlog::error("event=traffic_error pool={} reason=\"{}\"", this->options.name, error.what());
        }
    }
}

} // namespace rattanmount::app
