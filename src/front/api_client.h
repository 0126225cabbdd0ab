#pragma once

#include "core/calls.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "front/http_caller.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattanmount::front {

/// The settings of an api_client.
struct api_client_options {
    std::vector<core::endpoint> hosts;        ///< HTTP addresses of entry hosts, in the order to try them.
    core::milliseconds connect_timeout{1000}; ///< After it, the client tries the next host.
    std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
};

/// An HTTP client for a cell, for the command line and for tests.
///
/// Every call goes to the first host. If that host returns no complete response, the call is retried with the
/// next host within the same time limit. This is safe because the team and key identify a request, so a retry
/// is the same request. A quick request is retried only if nothing was sent. Each call uses new connections.
/// Any thread may call.
///
/// All members throw core::unavailable if no host was reached or received the request in time,
/// core::outcome_unknown if a request was sent and no complete or decodable response arrived, and
/// core::invalid_argument if a host reports that the request is not valid. explain(), show_notes(),
/// hosts(), timeline() and metrics() also throw core::unavailable for any status except 200, and apply_note()
/// for status 503.
class api_client {
public:
    explicit api_client(api_client_options options);

    [[nodiscard]] core::job_answer submit(const core::job_spec& spec, core::milliseconds limit) const;
    [[nodiscard]] core::job_answer status(const core::job_id& id, core::milliseconds limit) const;
    [[nodiscard]] core::job_answer cancel(const core::job_id& id, core::milliseconds limit) const;
    [[nodiscard]] std::vector<std::string> explain(const core::job_id& id, core::milliseconds limit) const;
    /// @param limit the time limit if the request has none of its own.
    [[nodiscard]] core::quick_answer quick(const core::quick_request& request,
                                           core::milliseconds limit) const;
    /// @param note the JSON text of the release note.
    [[nodiscard]] core::note_answer apply_note(const std::string& note, core::milliseconds limit) const;
    /// @return the policies in force, as JSON text.
    [[nodiscard]] std::string show_notes(core::milliseconds limit) const;
    [[nodiscard]] std::vector<core::host_status> hosts(core::milliseconds limit) const;
    /// @return the events of the host that responds, as JSON lines.
    [[nodiscard]] std::string timeline(core::milliseconds limit) const;
    [[nodiscard]] std::string metrics(core::milliseconds limit) const;
    /// @return whether the host that responds accepts work.
    [[nodiscard]] bool ready(core::milliseconds limit) const;

private:
    /// Whether a request that may already have been executed may be sent to the next host.
    enum class retry_policy : std::uint8_t { always, unsent_only };

    /// Builds the request for one host; `host_limit` is the time limit that the request states.
    using request_maker = std::function<outgoing_request(core::milliseconds host_limit)>;

    [[nodiscard]] incoming_answer call(const request_maker& make_request, core::milliseconds limit,
                                       retry_policy policy = retry_policy::always) const;
    /// @param path a path without a query; the query parameter `limit` is appended.
    [[nodiscard]] incoming_answer call(const std::string& method, const std::string& path,
                                       const std::string& body, core::milliseconds limit) const;
    /// @return the body of a response with status 200.
    /// @throws core::unavailable for any other status.
    [[nodiscard]] std::string get(const std::string& path, core::milliseconds limit) const;

    api_client_options options;
};

} // namespace rattanmount::front
