#include "runtime/log_follower.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace rattanmount::runtime {

log_follower::log_follower(log_follower_options options)
    : options(std::move(options)), enabled(this->options.enabled),
      next_load_timeout(this->options.load_timeout),
      thread([this](const std::stop_token& stop) { this->run(stop); }) {}

log_follower::~log_follower() {
    this->thread.request_stop();
    this->changed.notify_all();
}

void log_follower::set_enabled(bool value) {
    {
        const std::lock_guard guard{this->mutex};
        this->enabled = value;
    }
    this->changed.notify_all();
}

void log_follower::set_read_interval(core::milliseconds value) {
    const std::lock_guard guard{this->mutex};
    this->options.read_interval = value;
}

core::milliseconds log_follower::delay_after_read(bool answered) {
    const std::lock_guard guard{this->mutex};
    return answered ? this->options.read_interval : this->options.retry_interval;
}

void log_follower::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        if (!this->wait_until_enabled(stop)) {
            return;
        }
        const bool answered = this->try_read();
        this->set_reachable(answered);
        const auto delay = this->delay_after_read(answered);
        if (delay.count() > 0) {
            std::unique_lock lock{this->mutex};
            this->changed.wait_for(lock, stop, delay, [] { return false; });
        }
    }
}

bool log_follower::wait_until_enabled(const std::stop_token& stop) {
    std::unique_lock lock{this->mutex};
    if (!this->enabled) {
        this->next.reset();
    }
    return this->changed.wait(lock, stop, [this] { return this->enabled; });
}

bool log_follower::try_read() {
    try {
        return this->next ? this->read_next() : this->load_newest();
    } catch (const std::exception& error) {
        telemetry::log_state("read of a log stream failed",
                             {{"stream", this->options.name}, {"reason", error.what()}},
                             telemetry::log_level::error);
        return false;
    }
}

void log_follower::deliver(const log_batch& batch) const {
    try {
        this->options.sink(batch);
    } catch (const std::exception& error) {
        telemetry::log_state("entries of a log stream could not be handled",
                             {{"stream", this->options.name}, {"reason", error.what()}},
                             telemetry::log_level::error);
    }
}

std::optional<core::log_offset> log_follower::position() {
    const std::lock_guard guard{this->mutex};
    return this->next;
}

void log_follower::move_to(core::log_offset offset) {
    const std::lock_guard guard{this->mutex};
    this->next = offset;
}

void log_follower::start_over() {
    const std::lock_guard guard{this->mutex};
    this->next.reset();
}

bool log_follower::load_newest() {
    const auto asked_at = this->options.now();
    auto answer = this->options.log.newest(this->next_load_timeout);
    if (answer.status != cell::log_status::done) {
        this->next_load_timeout = std::min(2 * this->next_load_timeout, this->options.max_load_timeout);
        return false;
    }
    this->next_load_timeout = this->options.load_timeout;
    this->caught_up = false;
    this->deliver(
        {.items = std::move(answer.items), .reset = true, .caught_up = false, .asked_at = asked_at});
    this->move_to(answer.next);
    return true;
}

bool log_follower::read_next() {
    const auto wait = this->caught_up ? this->options.wait : core::milliseconds{0};
    const auto asked_at = this->options.now();
    auto answer = this->options.log.read({.from = *this->next, .wait = wait, .max_bytes = this->size.bytes()},
                                         wait + this->options.read_timeout_margin);
    if (answer.status == cell::log_status::expired) {
        telemetry::log_state("log entries expired before they were read; reading the newest entries again",
                             {{"stream", this->options.name}});
        this->start_over();
        return true;
    }
    if (answer.status != cell::log_status::done) {
        this->size.on_failure();
        return false;
    }
    if (answer.at_end || answer.next != *this->next) {
        this->size.on_answer();
    } else {
        this->size.on_nothing_fits();
    }
    this->caught_up = answer.at_end;
    this->deliver(
        {.items = std::move(answer.items), .reset = false, .caught_up = answer.at_end, .asked_at = asked_at});
    this->move_to(answer.next);
    return true;
}

void log_follower::set_reachable(bool value) {
    if (value != this->reachable) {
        this->reachable = value;
        telemetry::log_state(value ? "log stream reachable again" : "log stream unreachable",
                             {{"stream", this->options.name}});
    }
}

} // namespace rattanmount::runtime
