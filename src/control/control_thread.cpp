#include "control/control_thread.h"

namespace rattanmount::control {

control_thread::control_thread(control_thread_options options, host_control& state,
                               const std::function<void(control_thread&)>& before_start)
    : options(std::move(options)), state(state), queue(this->options.queue_capacity) {
    if (before_start) {
        before_start(*this);
    }
    this->thread = std::thread{[this] { this->run(); }};
}

control_thread::~control_thread() {
    this->stop();
}

bool control_thread::request(control_event event) {
    return this->queue.try_push(std::move(event));
}

void control_thread::reply(control_event event) {
    this->queue.push_always(std::move(event));
}

void control_thread::stop() {
    this->stopping = true;
    this->queue.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void control_thread::run() {
    auto next_tick = this->options.clock.steady();
    while (!this->stopping) {
        for (auto& event : this->queue.pop_all(next_tick)) {
            event(this->state, this->options.clock.steady());
        }
        const auto now = this->options.clock.steady();
        if (now >= next_tick) {
            this->state.tick(now);
            next_tick = now + this->options.tick_interval;
        }
    }
}

} // namespace rattanmount::control
