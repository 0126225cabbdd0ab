#include "control/stream_driver.h"

namespace rattanmount::control {

stream_driver::stream_driver(ledger::stream_session& session, const host_hooks& hooks,
                             core::milliseconds snapshot_interval)
    : session(session), hooks(hooks), snapshot_interval(snapshot_interval) {}

void stream_driver::send_requests(core::steady_time now) {
    if (!this->session.log_available()) {
        this->session.cancel_queued();
    }
    if (const auto append = this->session.next_append(now)) {
        this->hooks.append(*append);
    }
    if (const auto read = this->session.next_read(now)) {
        this->hooks.read(*read);
    }
}

void stream_driver::plan_snapshots(core::steady_time now) {
    this->next_snapshot = now + this->snapshot_interval / 2;
}

void stream_driver::take_snapshot(core::steady_time now) {
    constexpr core::milliseconds retry{10000};
    this->next_snapshot = now + this->snapshot_interval;
    this->session.add(ledger::snapshot_taken{}, {.cancellable = true, .own_batch = true},
                      [this, again = now + retry](ledger::record_outcome settled) {
                          if (settled != ledger::record_outcome::recorded) {
                              this->next_snapshot = again;
                          }
                      });
}

} // namespace rattanmount::control
