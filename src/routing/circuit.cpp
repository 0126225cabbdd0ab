#include "routing/circuit.h"

#include <cassert>

namespace rattanmount::routing {

circuit::circuit(circuit_options options) : options(options) {
    assert(options.failures > 0);
}

bool circuit::allows(core::steady_time now) const {
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

circuit_state circuit::state(core::steady_time now) const {
    if (!this->tripped) {
        return circuit_state::closed;
    }
    return now < this->open_until ? circuit_state::open : circuit_state::half_open;
}

void circuit::on_sent(core::steady_time now) {
    assert(this->allows(now));
    this->probing = this->state(now) == circuit_state::half_open;
}

void circuit::on_success() {
    this->failures_in_row = 0;
    this->tripped = false;
    this->probing = false;
}

void circuit::on_failure(core::steady_time now) {
    ++this->failures_in_row;
    this->probing = false;
    if (this->tripped || this->failures_in_row >= this->options.failures) {
        this->tripped = true;
        this->open_until = now + this->options.open_time;
    }
}

} // namespace rattanmount::routing
