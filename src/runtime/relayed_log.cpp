#include "runtime/relayed_log.h"

#include "core/errors.h"
#include "telemetry/logging.h"

#include <algorithm>

namespace rattanmount::runtime {

namespace {

/// @return whether the log has answered, be it with a refusal of what was asked.
bool answered(cell::log_fate fate) {
    return fate != cell::log_fate::refused && fate != cell::log_fate::unknown;
}

} // namespace

cell::keyed_log relayed_log::as_log() {
    return {.append = [this](const auto& items, const auto& stamp,
                             auto limit) { return this->append(items, stamp, limit); },
            .read = [this](auto from, auto wait, auto limit) { return this->read(from, wait, limit); },
            .newest = [this](auto limit) { return this->newest(limit); }};
}

cell::keyed_log relayed_log::for_peers() {
    return {.append =
                [this](const auto& items, const auto& stamp, auto limit) {
                    this->require_direct();
                    return this->options.direct.append(items, stamp, limit);
                },
            .read =
                [this](auto from, auto wait, auto limit) {
                    this->require_direct();
                    return this->options.direct.read(from, wait, limit);
                },
            .newest =
                [this](auto limit) {
                    this->require_direct();
                    return this->options.direct.newest(limit);
                }};
}

cell::log_append_answer relayed_log::append(const std::vector<cell::keyed_bytes>& items,
                                            const cell::producer_stamp& stamp, core::milliseconds limit) {
    return this->call<cell::log_append_answer>(
        [&](bool probing) {
            return this->options.direct.append(items, stamp,
                                               probing ? std::min(limit, this->options.probe_limit) : limit);
        },
        [&](const cell::peer_calls& peer) {
            return peer.append_log(this->options.stream, items, stamp, limit);
        });
}

cell::log_read_answer relayed_log::read(core::log_offset from, core::milliseconds wait,
                                        core::milliseconds limit) {
    return this->call<cell::log_read_answer>(
        [&](bool probing) {
            return probing ? this->options.direct.read(from, core::milliseconds{0}, this->options.probe_limit)
                           : this->options.direct.read(from, wait, limit);
        },
        [&](const cell::peer_calls& peer) { return peer.read_log(this->options.stream, from, wait, limit); });
}

cell::log_newest_answer relayed_log::newest(core::milliseconds limit) {
    return this->call<cell::log_newest_answer>(
        [&](bool /*probing*/) { return this->options.direct.newest(limit); },
        [&](const cell::peer_calls& peer) { return peer.newest_log(this->options.stream, limit); });
}

template <typename Answer>
Answer relayed_log::call(const std::function<Answer(bool probing)>& direct,
                         const std::function<Answer(const cell::peer_calls&)>& by_peer) {
    Answer answer;
    answer.fate = cell::log_fate::refused;
    const bool failed = this->failing();
    if (!failed || this->take_probe()) {
        answer = direct(failed);
        this->note(answered(answer.fate));
        if (answered(answer.fate)) {
            this->tell_relayed();
            return answer;
        }
    }
    bool in_doubt = answer.fate == cell::log_fate::unknown;
    const auto relayed = this->ask_peers(by_peer, in_doubt);
    {
        const std::lock_guard guard{this->mutex};
        this->peers_help = relayed.has_value();
    }
    this->tell_relayed();
    if (relayed) {
        return *relayed;
    }
    answer.fate = in_doubt ? cell::log_fate::unknown : cell::log_fate::refused;
    return answer;
}

template <typename Answer>
std::optional<Answer> relayed_log::ask_peers(const std::function<Answer(const cell::peer_calls&)>& by_peer,
                                             bool& in_doubt) {
    std::size_t asked = 0;
    for (const auto& peer : this->options.peers()) {
        const auto now = std::chrono::steady_clock::now();
        {
            const std::lock_guard guard{this->mutex};
            if (asked >= this->options.most_peers || now < this->paused_peers[peer.incarnation]) {
                continue;
            }
        }
        asked++;
        try {
            auto answer = by_peer(peer.calls);
            if (answered(answer.fate)) {
                return answer;
            }
            in_doubt = in_doubt || answer.fate == cell::log_fate::unknown;
        } catch (const core::unavailable&) {
            // The peer cannot reach the log either, or is not reached itself: it made no call.
        } catch (const core::error&) {
            in_doubt = true;
        }
        const std::lock_guard guard{this->mutex};
        this->paused_peers[peer.incarnation] = now + this->options.peer_pause;
    }
    return std::nullopt;
}

bool relayed_log::failing() {
    const std::lock_guard guard{this->mutex};
    return this->failed_since.has_value();
}

bool relayed_log::take_probe() {
    const std::lock_guard guard{this->mutex};
    const auto now = std::chrono::steady_clock::now();
    if (this->peers_help && now < this->probed_at + this->options.probe_interval) {
        return false;
    }
    this->probed_at = now;
    return true;
}

void relayed_log::note(bool reached) {
    const std::lock_guard guard{this->mutex};
    if (reached == !this->failed_since) {
        return;
    }
    telemetry::log_state(reached ? "log reached directly" : "log not reached directly",
                         {{"stream", this->options.stream}});
    if (reached) {
        this->failed_since.reset();
    } else {
        this->failed_since = std::chrono::steady_clock::now();
        this->probed_at = *this->failed_since;
    }
}

void relayed_log::tell_relayed() {
    bool relayed = false;
    {
        const std::lock_guard guard{this->mutex};
        relayed = this->failed_since.has_value() && this->peers_help;
        if (relayed == this->told_relayed) {
            return;
        }
        this->told_relayed = relayed;
    }
    if (this->options.relayed_changed) {
        this->options.relayed_changed(relayed);
    }
}

void relayed_log::require_direct() {
    if (this->failing()) {
        throw core::unavailable("this host does not reach the log either");
    }
}

} // namespace rattanmount::runtime
