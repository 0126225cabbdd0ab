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
    refuse,                ///< Calls are refused with status 503 and have no effect.
    slow,                  ///< Calls are delayed, then take effect and are answered.
    effect_without_answer, ///< Calls take effect, but the connection is closed without an answer.
    crossed_answer,        ///< Answers carry a wrong correlation id.
    short_answer,          ///< Answers are truncated.
    expire,                ///< Log: entries below an offset are dropped immediately.
    freeze,                ///< The service makes no progress and sends no answers.
    fail_starts,           ///< Workers: starts are refused.
    fail_tasks,            ///< Workers: tasks fail soon after they start. Executors: requests fail.
    silent_connections,    ///< Connections that are open now no longer answer; new ones do.
    lag                    ///< Fleet: an outdated list is returned.
};

/// A fault that a test injects. It applies until its count or time is used up or the faults are cleared.
struct fault {
    fault_kind kind = fault_kind::down;
    std::string match;                  ///< Name of the affected calls; "" for all.
    std::string target;                 ///< The affected stream, worker or executor; "" for all.
    std::optional<std::uint32_t> count; ///< Number of calls still affected; unset: unlimited.
    core::milliseconds length{0};       ///< Delay of a call, duration of a freeze, or age of the list.
    core::milliseconds active_for{0};   ///< How long the fault is active; 0: until cleared.
    std::uint64_t offset = 0;           ///< Expire: the first offset that is kept.
    core::steady_time until;            ///< End of the fault; set by fault_injector.
};

/// A call that a fault may affect.
struct injection_point {
    std::string_view call;
    std::string_view target;
    core::steady_time now;
};

/// The active faults of a stand-in.
///
/// Owned by the program or the test; thread-safe.
class fault_injector {
public:
    /// Activates a fault, replacing one with the same kind, match and target.
    /// @param injected the fault.
    /// @param now the current time.
    /// @return the fault with its end set.
    fault activate(fault injected, core::steady_time now);

    /// Deactivates all faults.
    void clear();

    /// Returns the active fault of a kind that affects a call, if any, and decrements its count.
    /// @param kind the kind of fault.
    /// @param site the call.
    [[nodiscard]] std::optional<fault> consume(fault_kind kind, const injection_point& site);

private:
    std::mutex mutex;
    std::vector<fault> active;
};

/// Parses a fault.
/// @param text a fault in JSON, such as {"fault":"slow","ms":50,"count":1,"match":"append"}.
/// @throws core::invalid_argument if the text is not a valid fault.
[[nodiscard]] fault decode_fault(const std::string& text);

/// Returns the name of a kind of fault, which is that of its enumerator.
[[nodiscard]] std::string_view to_string(fault_kind kind);

} // namespace rattanmount::stand_ins
