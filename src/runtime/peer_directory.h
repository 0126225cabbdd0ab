#pragma once

#include "cell/peer_calls.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "workflow/records.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanmount::runtime {

/// The other hosts of the cell, with the calls that reach each of them.
///
/// Owned by host_process; any thread may call it.
class peer_directory {
public:
    /// Another host of the cell.
    struct peer {
        core::incarnation_id incarnation;
        cell::peer_calls calls;
    };

    /// @param self the incarnation of this host, which is excluded.
    /// @param connect creates the calls to a peer.
    peer_directory(core::incarnation_id self, cell::peer_connector connect)
        : self(std::move(self)), connect(std::move(connect)) {}

    /// Replaces the set of peers.
    /// @param members all hosts of the cell; this host is skipped.
    void set_members(const std::vector<workflow::member_record>& members);

    /// Returns the peer with an incarnation; empty if it is this host or not known.
    [[nodiscard]] std::optional<peer> find(const core::incarnation_id& incarnation);

    /// Returns all peers, ordered by incarnation.
    [[nodiscard]] std::vector<peer> peers();

private:
    core::incarnation_id self;
    cell::peer_connector connect;
    std::mutex mutex;
    std::map<core::incarnation_id, cell::peer_calls> known;
};

} // namespace rattanmount::runtime
