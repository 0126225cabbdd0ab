#include "runtime/record_store.h"

#include "core/errors.h"
#include "telemetry/logging.h"

#include <future>
#include <memory>
#include <utility>

namespace rattanmount::runtime {

void record_store::set_leader(std::optional<peer_directory::peer> value) {
    const std::lock_guard guard{this->mutex};
    this->leader = std::move(value);
    this->paused_until = {};
}

void record_store::store(std::vector<cell::keyed_bytes> items, log_writer::settled done) {
    std::optional<peer_directory::peer> through;
    {
        const std::lock_guard guard{this->mutex};
        if (std::chrono::steady_clock::now() >= this->paused_until) {
            through = this->leader;
        }
    }
    if (!through || !through->calls.store_items) {
        this->append(std::move(items), std::move(done));
        return;
    }
    this->options.run_blocking(
        [this, leader = std::move(*through), items = std::move(items), done = std::move(done)]() mutable {
            this->store_through(leader, std::move(items), std::move(done));
        });
}

bool record_store::store_for_peer(std::vector<cell::keyed_bytes> items, core::milliseconds limit) {
    const auto promise = std::make_shared<std::promise<write_fate>>();
    auto fate = promise->get_future();
    this->append(std::move(items), [promise](write_fate settled) { promise->set_value(settled); });
    if (fate.wait_for(limit) != std::future_status::ready) {
        throw core::fate_unknown("the log has not settled the records in time");
    }
    return fate.get() == write_fate::stored;
}

void record_store::store_through(const peer_directory::peer& through, std::vector<cell::keyed_bytes> items,
                                 log_writer::settled done) {
    const auto fate = this->ask(through, items);
    if (fate == write_fate::stored) {
        this->options.stored(items);
        done(*fate);
        return;
    }
    const bool in_doubt = fate.has_value();
    this->append(std::move(items), [in_doubt, done = std::move(done)](write_fate here) {
        done(in_doubt && here != write_fate::stored ? write_fate::unknown : here);
    });
}

std::optional<write_fate> record_store::ask(const peer_directory::peer& through,
                                            const std::vector<cell::keyed_bytes>& items) {
    try {
        if (through.calls.store_items(items, this->options.leader_limit)) {
            return write_fate::stored;
        }
        return std::nullopt;
    } catch (const core::unavailable&) {
        // It was not reached, or leads no more: it stored nothing.
        this->pause_leader();
        return std::nullopt;
    } catch (const core::error& error) {
        telemetry::log_state("leader does not store",
                             {{"peer", through.incarnation.value()}, {"reason", error.what()}});
        this->pause_leader();
        return write_fate::unknown;
    }
}

void record_store::append(std::vector<cell::keyed_bytes> items, log_writer::settled done) {
    auto kept = items;
    this->options.append_here(std::move(items),
                              [this, kept = std::move(kept), done = std::move(done)](write_fate fate) {
                                  if (fate == write_fate::stored) {
                                      this->options.stored(kept);
                                  }
                                  done(fate);
                              });
}

void record_store::pause_leader() {
    const std::lock_guard guard{this->mutex};
    this->paused_until = std::chrono::steady_clock::now() + this->options.leader_pause;
}

} // namespace rattanmount::runtime
