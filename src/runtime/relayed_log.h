#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"
#include "runtime/peer_directory.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattanmount::runtime {

struct relayed_log_options {
    std::string stream;     ///< The stream's name in calls between hosts.
    cell::keyed_log direct; ///< Reaches the log from this host.
    /// Returns the hosts through which the log may be reached.
    std::function<std::vector<peer_directory::peer>()> peers;
    /// Called on any thread when this host begins or ceases to reach the log only through peers.
    std::function<void(bool relayed)> relayed_changed;
    core::milliseconds probe_interval{1000}; ///< Between two direct attempts while peers relay calls.
    /// Timeout of a direct read or append while direct calls fail.
    core::milliseconds probe_timeout{600};
    core::milliseconds peer_backoff{1500}; ///< Time without calls to a peer that failed to relay one.
    /// Time without calls to any peer after all peers that were tried for a call have failed: the log is
    /// probably down for all hosts, and a host that waits for peers notices its return late.
    core::milliseconds peers_pause{500};
    /// Timeout of one call to a peer; a peer that reaches the log answers much sooner.
    core::milliseconds peer_timeout{400};
    core::milliseconds peer_read_wait{100}; ///< How long a read through a peer may wait for an entry.
    /// Size of a read through a peer, whose link carries it twice.
    std::size_t max_peer_read_bytes = 131'072;
    /// Peers that are tried for one call. A read of the newest entries, which may be long, gives each of them
    /// this part of its limit.
    std::size_t max_peers_per_call = 3;
    /// Returns a random number. Each host begins with another peer, so that an outage does not make all hosts
    /// call the same few.
    std::function<std::size_t()> random = [] { return std::random_device{}(); };
};

/// A stream of the log that is reached through a peer while the log does not answer this host.
///
/// A direct append without an answer can safely be repeated through a peer, because the log treats a repeat
/// of a producer's sequence number as the same append. A peer makes only direct calls on behalf of others,
/// and none while the log does not answer the peer itself. Owned by host_process; any traffic thread may call
/// it.
class relayed_log {
public:
    explicit relayed_log(relayed_log_options options) : options(std::move(options)) {}

    /// Returns the stream with fallback to peers; valid as long as this object.
    [[nodiscard]] cell::keyed_log as_log();

    /// Returns the stream without fallback to peers, for calls on behalf of peers; valid as long as this
    /// object. Its calls throw core::unavailable while the log does not answer this host.
    [[nodiscard]] cell::keyed_log as_direct_log();

private:
    /// A call that has ended, for log lines.
    struct call_report {
        const char* call; ///< append, read or newest.
        cell::log_status status;
        core::milliseconds took;
    };

    [[nodiscard]] cell::log_append_answer append(const std::vector<cell::keyed_record>& items,
                                                 const cell::producer_stamp& stamp, core::milliseconds limit);
    [[nodiscard]] cell::log_read_answer read(const cell::log_read_request& request, core::milliseconds limit);
    [[nodiscard]] cell::log_newest_answer newest(core::milliseconds limit);
    /// @param call the kind of call, for log lines.
    template <typename Answer>
    [[nodiscard]] Answer call_with_fallback(const char* call,
                                            const std::function<Answer(bool probing)>& direct,
                                            const std::function<Answer(const cell::peer_calls&)>& via_peer);
    template <typename Answer>
    [[nodiscard]] std::optional<Answer>
    call_peers(const std::function<Answer(const cell::peer_calls&)>& via_peer, bool& may_be_done);
    /// @return the peers to try for a call, in the order in which to try them.
    [[nodiscard]] std::vector<peer_directory::peer> peers_to_try(core::steady_time now);
    [[nodiscard]] bool is_direct_failing();
    [[nodiscard]] bool try_begin_probe();
    /// @param call the kind of call and how it ended, for log lines.
    void record_direct_result(bool reached, const call_report& call);
    void report_relayed();
    void require_direct_access();

    relayed_log_options options;
    std::mutex mutex;
    /// Start of the current run of failed direct calls; empty while they succeed.
    std::optional<core::steady_time> direct_failed_since;
    core::steady_time last_probe_at;
    bool last_relay_succeeded = false; ///< The last attempt to call through peers was answered.
    bool reported_relayed = false;     ///< The last value passed to relayed_changed.
    std::map<core::incarnation_id, core::steady_time> peer_retry_at; ///< End of the back-off of each peer.
    core::steady_time peers_paused_until;
};

} // namespace rattanmount::runtime
