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

/// The other hosts of the cell and the calls to each.
///
/// Owned by the process; any thread may call.
class peer_directory {
public:
    /// A host of the cell.
    struct peer {
        core::incarnation_id incarnation;
        cell::peer_calls calls;
    };

    /// @param self this host, which is left out.
    /// @param connect makes the calls to a peer.
    peer_directory(core::incarnation_id self, cell::peer_connector connect)
        : self(std::move(self)), connect(std::move(connect)) {}

    /// @param members the hosts of the cell.
    void set_members(const std::vector<workflow::member_record>& members);

    /// @param incarnation of a host.
    /// @return the peer, or nothing where it is this host or not known.
    [[nodiscard]] std::optional<peer> find(const core::incarnation_id& incarnation);

    /// @return the peers, in the order of their incarnations.
    [[nodiscard]] std::vector<peer> peers();

private:
    core::incarnation_id self;
    cell::peer_connector connect;
    std::mutex mutex;
    std::map<core::incarnation_id, cell::peer_calls> known;
};

} // namespace rattanmount::runtime
