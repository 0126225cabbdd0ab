#pragma once

#include "core/resources.h"
#include "core/time.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// Estimates run times and sizes of one team's tasks in one pool from finished attempts, to correct what the
/// jobs declare.
///
/// Owned by estimate_cache and shared with the job groups and allocations that it applies to.
struct estimate {
    std::uint32_t time_samples = 0;  ///< Attempts with a known run time.
    double log_ratio = 0.0;          ///< Mean of log(run time / declared run time).
    double log_ratio_variance = 1.0; ///< Mean squared deviation from `log_ratio`.
    double log_time = 0.0;           ///< Mean of log(run time in ms).
    double log_time_variance = 1.0;  ///< Mean squared deviation from `log_time`.
    std::uint32_t ratio_samples = 0; ///< Attempts with a known and a declared run time.
    double processors_ratio = 1.0;   ///< Upper estimate of used over declared millicores, at least 1.
    double memory_ratio = 1.0;       ///< Upper estimate of used over declared memory, at least 1.
    std::uint32_t size_samples = 0;  ///< Attempts with a known resource use.

    /// @param declared the declared run time; 0 if none.
    /// @param fallback returned if there is neither a declared run time nor enough history.
    /// @return the estimated run time.
    [[nodiscard]] core::milliseconds run_time(core::milliseconds declared, core::milliseconds fallback) const;

    /// @param declared the declared size.
    /// @return the estimated size, in no resource less than declared.
    [[nodiscard]] core::resources size(const core::resources& declared) const;

    /// Updates the run time estimate from a finished attempt.
    /// @param declared_time its declared run time; 0 if none.
    /// @param run_time how long it ran.
    void learn_time(core::milliseconds declared_time, core::milliseconds run_time);

    /// Updates the size estimate from an attempt. No effect if `used` is all 0, which means unknown.
    void learn_size(const core::resources& declared, const core::resources& used);

    /// Attempts that are needed before an estimate is used.
    static constexpr std::uint32_t min_samples = 3;
    /// Largest factor by which a declared size is raised.
    static constexpr double max_size_ratio = 10.0;
};

} // namespace rattanmount::scheduling
