#include "runtime/record_store.h"

#include "core/errors.h"
#include "telemetry/logging.h"

#include <future>
#include <memory>
#include <string>
#include <utility>

namespace rattanmount::runtime {

void record_store::set_leader(std::optional<peer_directory::peer> value) {
    const std::lock_guard guard{this->mutex};
    this->leader = std::move(value);
    this->leader_retry_at = {};
}

void record_store::store(std::vector<cell::keyed_record> items, log_writer::write_callback done) {
    std::optional<peer_directory::peer> leader_peer;
    {
        const std::lock_guard guard{this->mutex};
        if (std::chrono::steady_clock::now() >= this->leader_retry_at) {
            leader_peer = this->leader;
        }
    }
    if (!leader_peer || !leader_peer->calls.store_items) {
        this->append_and_report(std::move(items), std::move(done));
        return;
    }
    this->options.run_blocking(
        [this, leader = std::move(*leader_peer), items = std::move(items), done = std::move(done)]() mutable {
            this->store_through_leader(leader, std::move(items), std::move(done));
        });
}

bool record_store::store_for_peer(std::vector<cell::keyed_record> items, core::milliseconds limit) {
    const auto promise = std::make_shared<std::promise<write_outcome>>();
    auto future = promise->get_future();
    this->append_and_report(std::move(items),
                            [promise](write_outcome result) { promise->set_value(result); });
    if (future.wait_for(limit) != std::future_status::ready) {
        throw core::outcome_unknown("the log did not confirm the records within " +
                                    std::to_string(limit.count()) + " ms");
    }
    return future.get() == write_outcome::stored;
}

void record_store::store_through_leader(const peer_directory::peer& leader_peer,
                                        std::vector<cell::keyed_record> items,
                                        log_writer::write_callback done) {
    const auto outcome = this->ask_leader(leader_peer, items);
    if (outcome == write_outcome::stored) {
        this->options.on_stored(items);
        done(*outcome);
        return;
    }
    const bool may_be_stored = outcome.has_value();
    this->append_and_report(std::move(items),
                            [may_be_stored, done = std::move(done)](write_outcome local_outcome) {
                                const bool definite = local_outcome == write_outcome::stored ||
                                                      local_outcome == write_outcome::rejected;
                                done(may_be_stored && !definite ? write_outcome::unknown : local_outcome);
                            });
}

std::optional<write_outcome> record_store::ask_leader(const peer_directory::peer& leader_peer,
                                                      const std::vector<cell::keyed_record>& items) {
    try {
        if (leader_peer.calls.store_items(items, this->options.leader_timeout)) {
            return write_outcome::stored;
        }
        return std::nullopt;
    } catch (const core::unavailable&) {
        // The peer was not reached or is no longer the leader, so it stored nothing.
        this->back_off_leader();
        return std::nullopt;
    } catch (const core::error& error) {
        telemetry::log_state("leader did not confirm records; appending them from this host",
                             {{"peer", leader_peer.incarnation.value()}, {"reason", error.what()}});
        this->back_off_leader();
        return write_outcome::unknown;
    }
}

void record_store::append_and_report(std::vector<cell::keyed_record> items, log_writer::write_callback done) {
    auto appended = items;
    this->options.append_locally(std::move(items), [this, appended = std::move(appended),
                                                    done = std::move(done)](write_outcome outcome) {
        if (outcome == write_outcome::stored) {
            this->options.on_stored(appended);
        }
        done(outcome);
    });
}

void record_store::back_off_leader() {
    const std::lock_guard guard{this->mutex};
    this->leader_retry_at = std::chrono::steady_clock::now() + this->options.leader_backoff;
}

} // namespace rattanmount::runtime
