#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"
#include "runtime/peer_directory.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::runtime {

struct relayed_log_options {
    std::string stream; ///< Its name towards peers.
    cell::keyed_log direct;
    /// Gives the hosts that may be asked in place of the log.
    std::function<std::vector<peer_directory::peer>()> peers;
    /// Told when calls begin or end to go through peers alone; by any thread.
    std::function<void(bool relayed)> relayed_changed;
    core::milliseconds probe_interval{1000}; ///< Between two direct tries while peers help.
    /// For a direct read or append while the last one failed.
    core::milliseconds probe_limit{600};
    core::milliseconds peer_pause{1500}; ///< A peer that could not help is left alone for so long.
    std::size_t most_peers = 2;          ///< Asked for one call.
};

/// A stream of the log that is reached through a peer while the log turns this host away.
///
/// An append that was made directly without an answer may be made through a peer as well: the log takes a
/// repeat of a producer's sequence as the same append. A peer makes only direct calls for others, and none
/// while the log does not answer it. Owned by the process; any traffic thread may call.
class relayed_log {
public:
    explicit relayed_log(relayed_log_options options) : options(std::move(options)) {}

    /// @return the stream with the way over peers; holds as long as this lives.
    [[nodiscard]] cell::keyed_log as_log();

    /// @return the stream without that way, for calls that peers ask for.
    /// @throws core::unavailable from each call while the log does not answer this host.
    [[nodiscard]] cell::keyed_log for_peers();

private:
    [[nodiscard]] cell::log_append_answer append(const std::vector<cell::keyed_bytes>& items,
                                                 const cell::producer_stamp& stamp, core::milliseconds limit);
    [[nodiscard]] cell::log_read_answer read(core::log_offset from, core::milliseconds wait,
                                             core::milliseconds limit);
    [[nodiscard]] cell::log_newest_answer newest(core::milliseconds limit);
    template <typename Answer>
    [[nodiscard]] Answer call(const std::function<Answer(bool probing)>& direct,
                              const std::function<Answer(const cell::peer_calls&)>& by_peer);
    template <typename Answer>
    [[nodiscard]] std::optional<Answer>
    ask_peers(const std::function<Answer(const cell::peer_calls&)>& by_peer, bool& in_doubt);
    [[nodiscard]] bool failing();
    [[nodiscard]] bool take_probe();
    void note(bool reached);
    void tell_relayed();
    void require_direct();

    relayed_log_options options;
    std::mutex mutex;
    std::optional<core::steady_time> failed_since; ///< Since when direct calls fail.
    core::steady_time probed_at;
    bool peers_help = false;   ///< The last call through a peer was answered.
    bool told_relayed = false; ///< As relayed_changed was last told.
    std::map<core::incarnation_id, core::steady_time> paused_peers; ///< Until when each is left alone.
};

} // namespace rattanmount::runtime
