#include "routing/circuit_breaker.h"

#include <cassert>

namespace rattanmount::routing {

circuit_breaker::circuit_breaker(circuit_breaker_options options) : options(options) {
    assert(options.failure_threshold > 0);
}

bool circuit_breaker::allows(core::steady_time now) const {
    switch (this->state(now)) {
    case circuit_state::closed:
        return true;
    case circuit_state::open:
        return false;
    case circuit_state::half_open:
        return !this->probing;
    }
    return false;
}

circuit_state circuit_breaker::state(core::steady_time now) const {
    if (!this->tripped) {
        return circuit_state::closed;
    }
    return now < this->open_until ? circuit_state::open : circuit_state::half_open;
}

void circuit_breaker::on_sent(core::steady_time now) {
    assert(this->allows(now));
    this->probing = this->state(now) == circuit_state::half_open;
}

void circuit_breaker::on_success() {
    this->consecutive_failures = 0;
    this->tripped = false;
    this->probing = false;
}

void circuit_breaker::on_failure(core::steady_time now) {
    ++this->consecutive_failures;
    this->probing = false;
    if (this->tripped || this->consecutive_failures >= this->options.failure_threshold) {
        this->tripped = true;
        this->open_until = now + this->options.open_time;
    }
}

} // namespace rattanmount::routing
