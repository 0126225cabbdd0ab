#pragma once

#include "cell/ownership.h"
#include "cell/peer_view.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/fleet_service.h"

#include <map>
#include <optional>
#include <vector>

namespace rattanmount::cell {

struct membership_options {
    core::host_id self;
    core::data_centre_id data_centre;
    core::milliseconds suspect_after{3000}; ///< A peer is suspected after this long without a heartbeat.
    core::milliseconds heartbeat_interval{1000};
};

/// Tracks the other entry hosts, from the platform's fleet list, which lags, and from heartbeats.
///
/// The result is only a hint: claims in the log decide who owns a shard. Owned by the control thread.
class membership {
public:
    explicit membership(membership_options options);

    /// Replaces the fleet list.
    /// @param hosts the listed entry hosts.
    void on_fleet_list(const std::vector<external::listed_host>& hosts);

    /// Processes a peer's view, received with a heartbeat or with the answer to one.
    /// @param view the peer's view; ignored if it is this host's own.
    /// @return whether the peer was not live before, or is a new incarnation.
    bool on_view(const peer_view& view, core::steady_time now);

    /// @return the hosts that may own shards, including this one unless it is leaving.
    [[nodiscard]] std::vector<claimant> claimants(core::steady_time now) const;

    /// @return the addresses of all peers that are listed or live, without this host.
    [[nodiscard]] std::vector<core::endpoint> known_peers(core::steady_time now) const;

    /// Selects the peers to send a heartbeat to. A heartbeat and its answer carry both views, so one exchange
    /// serves both hosts: of two hosts that hear each other, the one whose name sorts first sends, and the
    /// other sends only if that heartbeat is overdue.
    [[nodiscard]] std::vector<core::endpoint> heartbeat_targets(core::steady_time now) const;

    /// Selects the hosts on which an accepted release note is not known to be in force. Considers all listed
    /// and all live hosts without this one; a dead host counts until the fleet list drops it.
    /// @param next the offset up to which the configuration stream must have been applied.
    /// @return the hosts that are not known to have applied the stream up to `next`.
    [[nodiscard]] std::vector<core::host_id> hosts_behind(core::log_offset next, core::steady_time now) const;

    /// @return the last view of the peer, or nullptr if its last heartbeat is too old.
    [[nodiscard]] const peer_view* live_view(const core::host_id& host, core::steady_time now) const;

    /// @return whether this very incarnation of a peer was heard recently.
    [[nodiscard]] bool is_live(const core::incarnation_id& incarnation, core::steady_time now) const;

    /// @return the live peer that reports owning the shard under the highest epoch, or nullptr.
    [[nodiscard]] const peer_view* owner_of(core::shard_id shard, core::steady_time now) const;

    /// @return the views of all live peers.
    [[nodiscard]] std::vector<const peer_view*> live_views(core::steady_time now) const;

    /// @return the hosts of the latest fleet list.
    [[nodiscard]] const std::vector<external::listed_host>& listed() const { return this->listed_hosts; }

    /// Marks this host as leaving, so that it claims no more shards.
    void leave() { this->leaving = true; }

private:
    struct peer {
        peer_view view;
        core::steady_time last_heard;
    };

    [[nodiscard]] bool is_recent(const peer& known, core::steady_time now) const;
    [[nodiscard]] bool sends_heartbeats_here(const peer& known, core::steady_time now) const;

    membership_options options;
    std::vector<external::listed_host> listed_hosts;
    std::map<core::host_id, peer> peers;
    bool leaving = false;
};

} // namespace rattanmount::cell
