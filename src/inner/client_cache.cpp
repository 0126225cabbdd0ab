#include "inner/client_cache.h"

#include <utility>

namespace rattanmount::inner {

client_cache::client_cache(inner_client_options options) : options(std::move(options)) {}

cell::peer_calls client_cache::connect(const core::endpoint& peer) {
    const std::lock_guard lock{this->mutex};
    if (const auto found = this->clients.find(peer); found != this->clients.end()) {
        return found->second;
    }
    if (this->clients.size() >= max_clients) {
        this->clients.clear();
    }
    auto client_options = this->options;
    client_options.peer = peer;
    return this->clients.emplace(peer, inner_client{client_options}.hooks()).first->second;
}

cell::peer_connector make_peer_connector(const inner_client_options& options) {
    return [cache = std::make_shared<client_cache>(options)](const core::endpoint& peer) {
        return cache->connect(peer);
    };
}

} // namespace rattanmount::inner
