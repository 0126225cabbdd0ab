#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace rattanmount::external {

enum class call_verdict : std::uint8_t {
    answered,  ///< A complete answer to this call arrived.
    failed,    ///< The executor ran the request and reports a failure.
    refused,   ///< The executor reports that it did not run the request.
    not_sent,  ///< No byte of the request was sent.
    timed_out, ///< Sent, but no answer arrived in time; the request may have run or may still be running.
    broken     ///< Sent, but the answer was truncated or belonged to another call; the request may have run.
};

struct executor_request {
    core::executor_id executor;
    core::endpoint address;
    std::string correlation; ///< Unique per attempt; the answer must repeat it.
    core::job_id id;
    std::string body;
    core::milliseconds limit{0}; ///< After this time both the executor and the client abandon the request.
};

struct executor_reply {
    call_verdict verdict = call_verdict::broken;
    std::string reason;
    std::string body; ///< The complete body, if answered.
};

/// The call that an executor serves, as a hook.
///
/// Blocks up to the request's limit; any traffic thread may call it.
struct executor_service {
    std::function<executor_reply(const executor_request&)> call;
};

} // namespace rattanmount::external
