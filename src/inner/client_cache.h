#pragma once

#include "cell/peer_calls.h"
#include "core/endpoint.h"
#include "inner/inner_client.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace rattanmount::inner {

/// Keeps one client per peer.
///
/// Owned by the entry host through the connector made of it; any thread may call.
class client_cache {
public:
    /// @param options as for each client; `peer` is set for each one, the counters are shared by all.
    explicit client_cache(inner_client_options options);

    /// @param peer an entry host.
    /// @return the calls to it.
    [[nodiscard]] cell::peer_calls connect(const core::endpoint& peer);

private:
    /// Peers that are gone are forgotten when there are more than this.
    static constexpr std::size_t max_clients = 256;

    inner_client_options options;
    std::mutex mutex;
    std::map<core::endpoint, cell::peer_calls> clients;
};

/// @param options as for each client of the connector; `peer` is set for each one.
/// @return a connector that makes one client per peer and keeps it.
[[nodiscard]] cell::peer_connector make_peer_connector(const inner_client_options& options);

} // namespace rattanmount::inner
