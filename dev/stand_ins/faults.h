#pragma once

#include "core/time.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanmount::stand_ins {

enum class fault_kind : std::uint8_t {
    down,                  ///< Connections are accepted and closed without an answer; calls have no effect.
    refuse,                ///< Each call is refused with status 503 and has no effect.
    slow,                  ///< A call takes effect and is answered after a time.
    effect_without_answer, ///< A call takes effect, and the connection is closed without an answer.
    crossed_answer,        ///< The answer carries the correlation id of another call.
    short_answer,          ///< The answer is cut before its end.
    expire,                ///< Log: the entries below an offset are dropped at once.
    freeze,                ///< No answers and no progress for a time.
    fail_starts,           ///< Workers: each start is refused.
    fail_tasks,            ///< Workers: each task fails soon after its start. Executors: each request fails.
    silent_connections,    ///< The connections open now never answer again; new ones do.
    lag                    ///< Fleet: the list is shown as it was some time ago.
};

/// A fault as ordered by a test. It holds until its count or time is used up or faults are cleared.
struct fault {
    fault_kind kind = fault_kind::down;
    std::string match;                  ///< Only calls of this name; "" for all.
    std::string target;                 ///< Only calls to this stream, worker or executor; "" for all.
    std::optional<std::uint32_t> count; ///< How many calls it hits.
    core::milliseconds length{0};       ///< How long a call is delayed, frozen, or the list lags.
    core::milliseconds lasts{0};        ///< How long the fault is in force; 0: until cleared.
    std::uint64_t offset = 0;           ///< For expire: the first offset that is kept.
    core::steady_time until;            ///< Filled in by fault_board.
};

/// The call that a fault may hit.
struct fault_site {
    std::string_view call;
    std::string_view target;
    core::steady_time now;
};

/// The faults in force at a stand-in.
///
/// Owned by the program or the test; any thread may call.
class fault_board {
public:
    /// Puts a fault in force; one of the same kind, match and target is replaced.
    /// @param ordered the fault.
    /// @param now the time.
    /// @return the fault with its end.
    fault put(fault ordered, core::steady_time now);

    /// Ends all faults.
    void clear();

    /// Asks whether a fault hits a call, and counts it.
    /// @param kind the kind of fault.
    /// @param site the call.
    /// @return the fault that hits.
    [[nodiscard]] std::optional<fault> take(fault_kind kind, const fault_site& site);

private:
    std::mutex mutex;
    std::vector<fault> in_force;
};

/// @param text a fault in JSON, such as {"fault":"slow","ms":50,"count":1,"match":"append"}.
/// @return the fault.
/// @throws core::invalid_argument with what is wrong with the text.
[[nodiscard]] fault decode_fault(const std::string& text);

/// @param kind a kind of fault.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(fault_kind kind);

} // namespace rattanmount::stand_ins
