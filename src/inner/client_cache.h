#pragma once

#include "cell/peer_calls.h"
#include "core/endpoint.h"
#include "inner/inner_client.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace rattanmount::inner {

/// Caches one client per peer.
///
/// Owned by the connector that make_peer_connector() returns; any thread may call.
class client_cache {
public:
    /// @param options the options for each client; `peer` is overwritten, the counters are shared.
    explicit client_cache(inner_client_options options);

    /// @return the calls to a peer, from a client that is created on first use.
    [[nodiscard]] cell::peer_calls connect(const core::endpoint& peer);

private:
    /// The cache is cleared when it is full, which also removes the clients of peers that no longer exist.
    static constexpr std::size_t max_clients = 256;

    inner_client_options options;
    std::mutex mutex;
    std::map<core::endpoint, cell::peer_calls> clients;
};

/// Returns a connector that caches one client per peer.
/// @param options the options for each client; `peer` is overwritten.
[[nodiscard]] cell::peer_connector make_peer_connector(const inner_client_options& options);

} // namespace rattanmount::inner
