#pragma once

#include "cell/keyed_log.h"
#include "cell/peer_view.h"
#include "core/calls.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "dispatch/orders.h"
#include "dispatch/placement_explanation.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::cell {

/// An executor slot that the owner of a shard reserved for one request of another entry host.
struct slot_grant {
    bool granted = false;
    std::uint64_t grant = 0; ///< Identifies the grant when it is released.
    core::executor_id executor;
    core::endpoint address;
    std::string reason; ///< Why no slot was granted.
};

/// How the use of a granted slot ended; decides when the slot becomes free.
enum class slot_release : std::uint8_t {
    done,   ///< Answered: the slot is free.
    unsent, ///< Nothing was sent, for a reason other than the executor: the slot is free.
    lost,   ///< No answer: the slot stays in use until the request's time limit has certainly passed.
    broken, ///< The connection failed or timed out: as `lost`, and counts as a failure of the executor.
    /// The executor refused or could not be reached: the slot is free; counts as a failure of the executor.
    refused
};

/// The answer of a shard's owner, or the statement that the callee does not own the shard.
struct owner_answer {
    bool is_owner = false; ///< false: the callee does not own the shard now, and `answer` is empty.
    core::job_answer answer;
    std::vector<std::string> explanation;   ///< For `explain` only.
    std::optional<core::shard_id> moved_to; ///< The job was moved to this shard; its owner has to be asked.
};

/// As owner_answer, for a non-idempotent quick request that the owner of its key's shard sends.
struct owner_quick_answer {
    bool is_owner = false;
    core::quick_answer answer;
};

/// The configuration of one entry host, for a host that starts while the log is down.
struct config_copy {
    bool available = false;
    core::log_offset next; ///< The first offset that the state does not contain.
    std::string state;     ///< In the format of a snapshot record.
};

/// A caller's request for a job, as it would be sent to an entry host. Its body is in the encoding of the
/// callers' interface, which the host that is asked decodes.
struct submission {
    std::string host_name; ///< The name by which the caller addresses the cell.
    std::string path;
    std::optional<std::string> key; ///< The key of the caller's team.
    std::string body;
};

/// The calls between entry hosts, as hooks. Set by the entry host on the serving side and by the client of
/// the inner protocol on the calling side.
///
/// All calls block; any traffic thread may make them. On the calling side a hook throws core::unavailable if
/// the call was certainly not carried out, and core::outcome_unknown if it may have been.
struct peer_calls {
    std::function<peer_view(const peer_view& caller, core::milliseconds limit)> heartbeat;
    std::function<owner_answer(core::shard_id, const core::job_spec&, core::milliseconds limit)> submit;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> status;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> cancel;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> explain;
    std::function<owner_quick_answer(core::shard_id, const core::quick_request&)> quick;
    /// Takes over a job that another shard moved here; answers `accepted` once the job is recorded.
    std::function<owner_answer(core::shard_id to, const core::job_spec&, core::system_time accepted_at,
                               core::milliseconds limit)>
        take_job;
    std::function<slot_grant(core::shard_id, const core::service_id&, const core::incarnation_id& caller,
                             core::milliseconds request_limit, core::milliseconds limit)>
        reserve_slot;
    std::function<void(core::shard_id, std::uint64_t grant, slot_release how, core::milliseconds limit)>
        release_slot;
    std::function<config_copy(core::milliseconds limit)> copy_config;
    /// Returns the events of the callee's timeline as JSON lines, oldest first.
    std::function<std::string(core::milliseconds limit)> timeline;
    /// Access a stream of the platform's log through the callee, for a host whose log requests are rejected
    /// or not answered.
    std::function<log_append_answer(const std::string& stream, const std::vector<keyed_record>&,
                                    const producer_stamp&, core::milliseconds limit)>
        append_log;
    std::function<log_read_answer(const std::string& stream, const log_read_request& request,
                                  core::milliseconds limit)>
        read_log;
    std::function<log_newest_answer(const std::string& stream, core::milliseconds limit)> newest_log;
    /// Stores records of the cell's log in one batch with those of other hosts, if the callee leads. Returns
    /// whether they are stored; if not, they never will be.
    std::function<bool(const std::vector<keyed_record>&, core::milliseconds limit)> store_items;
    /// Calls the advisory service from the callee's machine, because the service handles one call per machine
    /// at a time.
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> advise;
    /// Explains what would become of a request; nothing is sent or recorded for it.
    std::function<dispatch::placement_explanation(const submission&, core::milliseconds limit)>
        explain_submission;
    /// Explains what would become of a job, if the callee leads.
    std::function<dispatch::placement_explanation(const keyed_record& acceptance, core::milliseconds limit)>
        explain_job;
};

/// Returns the hooks that call one peer.
using peer_connector = std::function<peer_calls(const core::endpoint&)>;

} // namespace rattanmount::cell
