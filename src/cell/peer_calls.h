#pragma once

#include "cell/keyed_log.h"
#include "cell/peer_view.h"
#include "core/calls.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "dispatch/orders.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::cell {

/// A slot of an executor that its shard's owner set aside for one request of another entry host.
struct slot_grant {
    bool granted = false;
    std::uint64_t grant = 0; ///< Names the grant when it is released.
    core::executor_id executor;
    core::endpoint address;
    std::string reason; ///< Why none was granted.
};

/// How the use of a granted slot ended; decides when the slot is free again.
enum class slot_release : std::uint8_t {
    done,   ///< Answered: the slot is free.
    unsent, ///< Nothing was sent and the executor is not to blame: the slot is free.
    lost,   ///< No answer: the slot stays taken until the request's limit has surely passed.
    broken, ///< The connection failed or went silent; as lost, and counts against the executor.
    refused ///< The executor did not take it, or was not reached: the slot is free, and it counts against it.
};

/// An answer of the owner of a shard, or the word that the callee is not its owner.
struct owner_answer {
    bool owner = false; ///< false: the callee does not own the shard now; `answer` is empty.
    core::job_answer answer;
    std::vector<std::string> explanation;   ///< For explain.
    std::optional<core::shard_id> moved_to; ///< The job went to that shard, whose owner is to be asked.
};

/// As owner_answer, for a quick request that is not idempotent and is sent by the owner of its key's shard.
struct owner_quick_answer {
    bool owner = false;
    core::quick_answer answer;
};

/// The configuration as one entry host has it, for another that starts while the log is down.
struct config_copy {
    bool available = false;
    core::log_offset next; ///< The first offset that it does not contain.
    std::string state;     ///< As in a snapshot record.
};

/// What entry hosts ask of each other, as hooks: set by the entry host on the serving side, by the inner
/// protocol's client on the calling side.
///
/// Blocking; any traffic thread may call. On the calling side a hook throws core::unavailable where the call
/// was certainly not carried out, and core::fate_unknown where it may have been.
struct peer_calls {
    std::function<peer_view(const peer_view& caller, core::milliseconds limit)> heartbeat;
    std::function<owner_answer(core::shard_id, const core::job_spec&, core::milliseconds limit)> submit;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> status;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> cancel;
    std::function<owner_answer(core::shard_id, const core::job_id&, core::milliseconds limit)> explain;
    std::function<owner_quick_answer(core::shard_id, const core::quick_request&)> quick;
    /// Takes over a job that another shard handed on; answers `accepted` once it is recorded here.
    std::function<owner_answer(core::shard_id to, const core::job_spec&, core::system_time accepted_at,
                               core::milliseconds limit)>
        take_job;
    std::function<slot_grant(core::shard_id, const core::service_id&, const core::incarnation_id& caller,
                             core::milliseconds request_limit, core::milliseconds limit)>
        reserve_slot;
    std::function<void(core::shard_id, std::uint64_t grant, slot_release how, core::milliseconds limit)>
        release_slot;
    std::function<config_copy(core::milliseconds limit)> copy_config;
    /// Events of the callee's time line as JSON lines, oldest first.
    std::function<std::string(core::milliseconds limit)> timeline;
    /// Reach a stream of the platform's log from the callee, for a host that the log turns away.
    std::function<log_append_answer(const std::string& stream, const std::vector<keyed_bytes>&,
                                    const producer_stamp&, core::milliseconds limit)>
        append_log;
    std::function<log_read_answer(const std::string& stream, core::log_offset from, core::milliseconds wait,
                                  core::milliseconds limit)>
        read_log;
    std::function<log_newest_answer(const std::string& stream, core::milliseconds limit)> newest_log;
    /// Stores records of the cell's log together with those of other hosts, where the callee leads.
    /// Gives whether they are stored; else they never will be.
    std::function<bool(const std::vector<keyed_bytes>&, core::milliseconds limit)> store_items;
    /// Asks the advisory service from the callee's machine, since it serves each machine one call at a time.
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> advise;
};

/// Makes the hooks that reach one peer.
using peer_connector = std::function<peer_calls(const core::endpoint&)>;

} // namespace rattanmount::cell
