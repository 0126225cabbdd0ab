#include "control/config_replica.h"

#include <utility>

namespace rattanmount::control {

config_replica::config_replica(config_replica_options options, const host_hooks& hooks)
    : options(std::move(options)), hooks(hooks), session(this->session_options()),
      driver(this->session, hooks, this->options.snapshot_interval) {}

ledger::session_options config_replica::session_options() {
    auto result = this->options.session;
    result.apply = [this](core::log_offset offset, const ledger::record_batch& batch) {
        return ledger::config_state_machine::is_applied(this->state_machine.apply(offset, batch));
    };
    result.reset = [this] { this->state_machine.reset(); };
    result.state = [this] { return this->state_machine.state(); };
    return result;
}

void config_replica::send_log_requests(core::steady_time now) {
    const bool available = this->session.log_available();
    this->driver.send_requests(now);
    if (available != this->log_was_available) {
        this->log_was_available = available;
        this->hooks.on_change(available ? telemetry::event_kind::log_up : telemetry::event_kind::log_down,
                              {});
    }
}

void config_replica::on_append(core::sequence_number sequence, const external::append_reply& reply,
                               core::steady_time now) {
    this->session.on_append(sequence, reply, now);
}

void config_replica::on_read(core::log_offset from, const external::read_reply& reply,
                             core::steady_time now) {
    this->session.on_read(from, reply, now);
    this->was_read = this->was_read || this->session.caught_up();
}

void config_replica::load(const cell::config_copy& copy) {
    if (!copy.available || (this->state_machine.has_base_state() && copy.next <= this->session.next())) {
        return;
    }
    this->state_machine.load(copy.state, copy.next);
    this->session.skip_to(copy.next);
    this->was_read = true;
}

cell::config_copy config_replica::copy() const {
    if (!this->ready()) {
        return {};
    }
    return {.available = true, .next = this->session.next(), .state = this->state_machine.state()};
}

bool config_replica::snapshot_due(core::steady_time now) const {
    return this->driver.snapshot_due(now) && this->ready() && this->session.log_available();
}

bool config_replica::idle() const {
    return this->ready() && this->session.log_available() && this->session.pending() == 0;
}

void config_replica::assign_racks(const std::map<core::rack_id, core::shard_id>& racks,
                                  const std::function<void()>& settled) {
    for (const auto& [rack, shard] : racks) {
        this->session.add(ledger::rack_assigned{.rack = rack, .shard = shard}, {.cancellable = true},
                          [settled](ledger::record_outcome) { settled(); });
    }
}

void config_replica::propose(const release::release_note& note, core::steady_time now,
                             std::function<void(ledger::record_outcome)> settled) {
    this->session.add(ledger::note_proposed{.note = note, .at = this->hooks.wall_time()},
                      {.cancellable = true}, std::move(settled));
    this->send_log_requests(now);
}

} // namespace rattanmount::control
