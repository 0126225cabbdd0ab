#include "runtime/key_check.h"

#include "telemetry/logging.h"
#include "tenancy/key_ring.h"

#include <algorithm>
#include <exception>
#include <string>
#include <utility>

namespace rattanmount::runtime {

key_check::key_check(key_check_options options) : options(std::move(options)) {}

key_answer key_check::check(const tenancy::api_key& key) {
    const auto arrived = this->options.now();
    if (key.empty()) {
        return this->reject(key);
    }
    if (const auto known = this->find(key)) {
        return *known;
    }
    if (!this->await_read(arrived)) {
        return {.verdict = key_verdict::undecided};
    }
    const auto known = this->find(key);
    return known ? *known : this->reject(key);
}

std::optional<key_answer> key_check::find(const tenancy::api_key& key) const {
    const auto team = this->options.find_team(key);
    return team ? std::optional{key_answer{.verdict = key_verdict::accepted, .team = *team}} : std::nullopt;
}

key_answer key_check::reject(const tenancy::api_key& key) {
    const auto now = this->options.now();
    std::uint64_t count = 0;
    {
        const std::lock_guard guard{this->mutex};
        this->rejections++;
        if (now >= this->next_log_at) {
            this->next_log_at = now + this->options.log_interval;
            count = std::exchange(this->rejections, 0);
        }
    }
    if (count > 0) {
        telemetry::log_state("key rejected", {{"key", key.empty() ? "none" : tenancy::fingerprint_of(key)},
                                              {"rejections", std::to_string(count)}});
    }
    return {.verdict = key_verdict::rejected};
}

bool key_check::await_read(core::steady_time arrived) {
    std::unique_lock lock{this->mutex};
    if (this->waiting >= this->options.max_waiting) {
        return false;
    }
    this->waiting++;
    const bool done = this->await_read(lock, arrived);
    this->waiting--;
    return done;
}

bool key_check::await_read(std::unique_lock<std::mutex>& lock, core::steady_time arrived) {
    const auto deadline = arrived + this->options.max_wait;
    while (true) {
        if (this->last_success >= arrived) {
            return true;
        }
        const auto now = this->options.now();
        if (this->last_failure >= arrived || now >= deadline) {
            return false;
        }
        if (!this->reading && now >= this->next_read_at) {
            this->read(lock);
        } else {
            const auto wake_at = this->reading ? deadline : std::min(deadline, this->next_read_at);
            this->changed.wait_for(lock, wake_at - now);
        }
    }
}

void key_check::read(std::unique_lock<std::mutex>& lock) {
    const auto sent_at = this->options.now();
    this->reading = true;
    this->next_read_at = sent_at + this->options.read_interval;
    lock.unlock();
    bool done = false;
    try {
        done = this->options.read_configuration();
    } catch (const std::exception& error) {
        telemetry::log_state("read of the configuration for an unknown key failed",
                             {{"reason", error.what()}}, telemetry::log_level::warning);
    }
    lock.lock();
    this->reading = false;
    (done ? this->last_success : this->last_failure) = sent_at;
    this->changed.notify_all();
}

} // namespace rattanmount::runtime
