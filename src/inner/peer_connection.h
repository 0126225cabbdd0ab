#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "inner/deadline_socket.h"
#include "inner/gen/peer_service.h"
#include "inner/traffic_counters.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rattanmount::inner {

/// The outcome of one attempt at a call on one connection.
enum class attempt_outcome : std::uint8_t {
    answered,  ///< A complete answer arrived.
    refused,   ///< The peer does not know the method: the call was not executed.
    not_sent,  ///< The peer has not received the complete request: the call was not executed.
    broken,    ///< The request was sent; the connection closed or the answer cannot be decoded.
    timed_out, ///< The request was sent; no answer arrived before the deadline.
};

struct attempt_result {
    attempt_outcome outcome = attempt_outcome::answered;
    std::string reason; ///< Empty if answered.
};

/// A call of the generated client, split into sending and receiving.
struct rpc_call {
    /// Sends the request, which carries the time limit for the peer.
    std::function<void(gen::peer_serviceClient&, core::milliseconds limit)> send;
    std::function<void(gen::peer_serviceClient&)> receive;
};

/// One connection to a peer, which carries one call at a time.
///
/// Created by a connection_pool and owned by the caller during a call. After an unanswered attempt the
/// connection is closed, so that a late answer cannot be mistaken for the answer to a later call.
class peer_connection {
public:
    peer_connection(const core::endpoint& peer, const std::shared_ptr<apache::thrift::TConfiguration>& limits,
                    std::shared_ptr<traffic_counters> counters);

    /// @return whether a call was answered on it before, so that the peer may have closed it since.
    [[nodiscard]] bool reused() const;

    /// @return whether it is closed, or the peer has closed it or sent unsolicited bytes.
    [[nodiscard]] bool is_stale();

    /// Connects if necessary, sends the request and receives the answer.
    /// @param call sends the request and receives the answer.
    /// @param deadline when the attempt times out.
    /// @throws gen::call_error if the peer answered with an error; the connection stays usable.
    attempt_result attempt(const rpc_call& call, core::steady_time deadline);

private:
    attempt_result receive(const rpc_call& call);

    std::shared_ptr<deadline_socket> socket;
    gen::peer_serviceClient client;
    bool answered_before = false;
};

} // namespace rattanmount::inner
