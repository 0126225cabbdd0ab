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

/// How one attempt at a call on one connection went.
enum class attempt_fate : std::uint8_t {
    answered,  ///< A whole answer came.
    refused,   ///< The peer does not know the call: it was not carried out.
    not_sent,  ///< The peer has not got the whole request: it was not carried out.
    broken,    ///< The whole request was sent; the connection ended or the answer cannot be read.
    timed_out, ///< The whole request was sent; no answer came in time.
};

struct attempt_result {
    attempt_fate fate = attempt_fate::answered;
    std::string reason; ///< Empty for answered.
};

/// The two halves of a call of the generated client.
struct call_halves {
    /// Sends the request, with the time that the peer may take for it.
    std::function<void(gen::peer_serviceClient&, core::milliseconds limit)> send;
    std::function<void(gen::peer_serviceClient&)> receive;
};

/// One connection to a peer, on which one call runs at a time.
///
/// Made by a connection_pool and owned by who runs the call. After an attempt that was not answered the
/// connection is closed for good, so that a late answer can never be taken for another call's.
class peer_connection {
public:
    peer_connection(const core::endpoint& peer, const std::shared_ptr<apache::thrift::TConfiguration>& limits,
                    std::shared_ptr<traffic_counters> counters);

    /// @return whether it was connected before, so that the peer may have closed it since.
    [[nodiscard]] bool reused() const;

    /// @return whether it can no longer be used.
    [[nodiscard]] bool stale();

    /// Connects where it is not connected, sends and receives.
    /// @param call what to send and how to receive.
    /// @param deadline when to give up.
    /// @return how it went.
    /// @throws gen::call_error as the peer answered it; the connection stays usable.
    attempt_result attempt(const call_halves& call, core::steady_time deadline);

private:
    attempt_result receive(const call_halves& call);

    std::shared_ptr<deadline_socket> socket;
    gen::peer_serviceClient client;
    bool answered_before = false;
};

} // namespace rattanmount::inner
