#pragma once

#include "core/time.h"
#include "workflow/queue_policy.h"

#include <memory>
#include <mutex>
#include <optional>

namespace rattanmount::runtime {

/// The configuration of a host at one moment.
struct configuration_view {
    std::shared_ptr<const workflow::configuration> version; ///< Null if none has been read yet.
    /// Whether no newer version can have been in the log for longer than the cache's maximum age. If not, an
    /// answer must not depend on the routes of this version.
    bool is_current = false;
};

/// The newest configuration that this host has applied, with a bound on its age.
///
/// A version is known to be the newest one only as of the time at which a read that reached the end of the
/// log was sent. Owned by host_process. The control thread calls apply() and confirm(); any thread may call
/// view().
class configuration_cache {
public:
    /// @param max_age how long a configuration is used after the last read that has confirmed it.
    explicit configuration_cache(core::milliseconds max_age) : max_age(max_age) {}

    /// @param value the version that is in force from now on.
    void apply(std::shared_ptr<const workflow::configuration> value);

    /// Records that all versions up to the end of the log have been applied.
    /// @param asked_at when the read that reached the end of the log was sent.
    void confirm(core::steady_time asked_at);

    /// Logs when the configuration is seen to have become too old, and when it is current again.
    /// @param now the current time, on the clock of confirm().
    [[nodiscard]] configuration_view view(core::steady_time now);

private:
    const core::milliseconds max_age;
    std::mutex mutex;
    std::shared_ptr<const workflow::configuration> version;
    std::optional<core::steady_time> confirmed_at; ///< When the last read that confirmed it was sent.
    bool was_current = false;                      ///< What the last view said.
};

} // namespace rattanmount::runtime
