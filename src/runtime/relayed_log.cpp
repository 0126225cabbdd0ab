#include "runtime/relayed_log.h"

#include "core/errors.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <cstddef>

namespace rattanmount::runtime {

namespace {

/// Returns whether the status is an answer of the log: not `refused` and not `unknown`.
bool is_answer(cell::log_status status) {
    return status != cell::log_status::refused && status != cell::log_status::unknown;
}

core::milliseconds milliseconds_since(core::steady_time time) {
    return std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - time);
}

/// Logs an attempt to call through peers that took longer than calls to peers usually do.
void log_if_slow(const std::string& stream, const char* call, core::milliseconds took, bool answered) {
    constexpr core::milliseconds usual{1000};
    if (took > usual) {
        telemetry::log_state("peers took long to relay a call of the log",
                             {{"stream", stream},
                              {"call", call},
                              {"took_ms", std::to_string(took.count())},
                              {"answered", answered ? "yes" : "no"}});
    }
}

} // namespace

cell::keyed_log relayed_log::as_log() {
    return {.append = [this](const auto& items, const auto& stamp,
                             auto limit) { return this->append(items, stamp, limit); },
            .read = [this](const auto& request, auto limit) { return this->read(request, limit); },
            .newest = [this](auto limit) { return this->newest(limit); },
            .limits = this->options.direct.limits};
}

cell::keyed_log relayed_log::as_direct_log() {
    return {.append =
                [this](const auto& items, const auto& stamp, auto limit) {
                    this->require_direct_access();
                    return this->options.direct.append(items, stamp, limit);
                },
            .read =
                [this](const auto& request, auto limit) {
                    this->require_direct_access();
                    return this->options.direct.read(request, limit);
                },
            .newest =
                [this](auto limit) {
                    this->require_direct_access();
                    return this->options.direct.newest(limit);
                },
            .limits = this->options.direct.limits};
}

cell::log_append_answer relayed_log::append(const std::vector<cell::keyed_record>& items,
                                            const cell::producer_stamp& stamp, core::milliseconds limit) {
    return this->call_with_fallback<cell::log_append_answer>(
        "append",
        [&](bool probing) {
            return this->options.direct.append(
                items, stamp, probing ? std::min(limit, this->options.probe_timeout) : limit);
        },
        [&](const cell::peer_calls& peer) {
            return peer.append_log(this->options.stream, items, stamp,
                                   std::min(limit, this->options.peer_timeout));
        });
}

cell::log_read_answer relayed_log::read(const cell::log_read_request& request, core::milliseconds limit) {
    auto probe = request;
    probe.wait = core::milliseconds{0};
    auto relayed = request;
    relayed.wait = std::min(request.wait, this->options.peer_read_wait);
    relayed.max_bytes = std::min(request.max_bytes, this->options.max_peer_read_bytes);
    return this->call_with_fallback<cell::log_read_answer>(
        "read",
        [&](bool probing) {
            return probing ? this->options.direct.read(probe, this->options.probe_timeout)
                           : this->options.direct.read(request, limit);
        },
        [&](const cell::peer_calls& peer) {
            return peer.read_log(this->options.stream, relayed, std::min(limit, this->options.peer_timeout));
        });
}

cell::log_newest_answer relayed_log::newest(core::milliseconds limit) {
    return this->call_with_fallback<cell::log_newest_answer>(
        "newest", [&](bool /*probing*/) { return this->options.direct.newest(limit); },
        [&](const cell::peer_calls& peer) {
            const auto peers = static_cast<core::milliseconds::rep>(this->options.max_peers_per_call);
            return peer.newest_log(this->options.stream, limit / peers);
        });
}

template <typename Answer>
Answer relayed_log::call_with_fallback(const char* call, const std::function<Answer(bool probing)>& direct,
                                       const std::function<Answer(const cell::peer_calls&)>& via_peer) {
    Answer answer;
    answer.status = cell::log_status::refused;
    const auto started_at = std::chrono::steady_clock::now();
    const bool failed = this->is_direct_failing();
    if (!failed || this->try_begin_probe()) {
        answer = direct(failed);
        this->record_direct_result(
            is_answer(answer.status),
            {.call = call, .status = answer.status, .took = milliseconds_since(started_at)});
        if (is_answer(answer.status)) {
            this->report_relayed();
            return answer;
        }
    }
    bool may_be_done = answer.status == cell::log_status::unknown;
    const auto relayed_at = std::chrono::steady_clock::now();
    const auto relayed = this->call_peers(via_peer, may_be_done);
    log_if_slow(this->options.stream, call, milliseconds_since(relayed_at), relayed.has_value());
    {
        const std::lock_guard guard{this->mutex};
        this->last_relay_succeeded = relayed.has_value();
    }
    this->report_relayed();
    if (relayed) {
        return *relayed;
    }
    answer.status = may_be_done ? cell::log_status::unknown : cell::log_status::refused;
    return answer;
}

template <typename Answer>
std::optional<Answer> relayed_log::call_peers(const std::function<Answer(const cell::peer_calls&)>& via_peer,
                                              bool& may_be_done) {
    for (const auto& peer : this->peers_to_try(std::chrono::steady_clock::now())) {
        try {
            auto answer = via_peer(peer.calls);
            if (is_answer(answer.status)) {
                return answer;
            }
            may_be_done = may_be_done || answer.status == cell::log_status::unknown;
        } catch (const core::unavailable&) {
            // The peer made no call: it cannot reach the log either, or this host cannot reach the peer.
        } catch (const core::error&) {
            may_be_done = true;
        }
        const std::lock_guard guard{this->mutex};
        this->peer_retry_at[peer.incarnation] = std::chrono::steady_clock::now() + this->options.peer_backoff;
    }
    const std::lock_guard guard{this->mutex};
    this->peers_paused_until =
        std::max(this->peers_paused_until, std::chrono::steady_clock::now() + this->options.peers_pause);
    return std::nullopt;
}

std::vector<peer_directory::peer> relayed_log::peers_to_try(core::steady_time now) {
    auto peers = this->options.peers();
    const std::lock_guard guard{this->mutex};
    if (peers.empty() || now < this->peers_paused_until) {
        return {};
    }
    const auto first = this->options.random() % peers.size();
    std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first), peers.end());
    std::erase_if(peers, [&](const auto& peer) { return now < this->peer_retry_at[peer.incarnation]; });
    peers.resize(std::min(peers.size(), this->options.max_peers_per_call));
    return peers;
}

bool relayed_log::is_direct_failing() {
    const std::lock_guard guard{this->mutex};
    return this->direct_failed_since.has_value();
}

bool relayed_log::try_begin_probe() {
    const std::lock_guard guard{this->mutex};
    const auto now = std::chrono::steady_clock::now();
    if (this->last_relay_succeeded && now < this->last_probe_at + this->options.probe_interval) {
        return false;
    }
    this->last_probe_at = now;
    return true;
}

void relayed_log::record_direct_result(bool reached, const call_report& call) {
    const std::lock_guard guard{this->mutex};
    if (reached == !this->direct_failed_since) {
        return;
    }
    telemetry::log_state(reached ? "log reachable directly again"
                                 : "log not reachable directly; trying peers",
                         {{"stream", this->options.stream},
                          {"call", call.call},
                          {"status", cell::to_string(call.status)},
                          {"took_ms", std::to_string(call.took.count())}});
    if (reached) {
        this->direct_failed_since.reset();
    } else {
        this->direct_failed_since = std::chrono::steady_clock::now();
        this->last_probe_at = *this->direct_failed_since;
    }
}

void relayed_log::report_relayed() {
    bool relayed = false;
    {
        const std::lock_guard guard{this->mutex};
        relayed = this->direct_failed_since.has_value() && this->last_relay_succeeded;
        if (relayed == this->reported_relayed) {
            return;
        }
        this->reported_relayed = relayed;
    }
    if (this->options.relayed_changed) {
        this->options.relayed_changed(relayed);
    }
}

void relayed_log::require_direct_access() {
    if (this->is_direct_failing()) {
        throw core::unavailable("this host cannot reach the log directly either");
    }
}

} // namespace rattanmount::runtime
