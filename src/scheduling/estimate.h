#pragma once

#include "core/resources.h"
#include "core/time.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// What was seen of one team's work in one pool: how far its declared sizes and run times are off.
///
/// A value kept by the estimator and shared with the groups and holdings that it applies to.
struct estimate {
    std::uint32_t time_samples = 0;  ///< Attempts learnt from.
    double log_ratio = 0.0;          ///< Mean of log(run time / declared run time).
    double log_ratio_variance = 1.0; ///< Mean squared error of that mean.
    double log_time = 0.0;           ///< Mean of log(run time in ms).
    double log_time_variance = 1.0;  ///< Mean squared error of that mean.
    std::uint32_t ratio_samples = 0; ///< Attempts learnt from that had a declared run time.
    double processors_ratio = 1.0;   ///< High use over declared, 1 or more.
    double memory_ratio = 1.0;       ///< High use over declared, 1 or more.
    std::uint32_t size_samples = 0;  ///< Attempts whose use was known.

    /// @param declared a declared run time; 0: none.
    /// @param otherwise what to take where nothing is known.
    /// @return the run time to expect.
    [[nodiscard]] core::milliseconds run_time(core::milliseconds declared, core::milliseconds fallback) const;

    /// @param declared a declared size.
    /// @return the size to count with: at least the declared one.
    [[nodiscard]] core::resources size(const core::resources& declared) const;

    /// Learns from an attempt that finished.
    /// @param declared_time its declared run time; 0: none.
    /// @param ran how long it ran.
    void learn_time(core::milliseconds declared_time, core::milliseconds run_time);

    /// Learns from an attempt whose use is known.
    void learn_size(const core::resources& declared, const core::resources& used);

    /// Sizes and run times count with what was seen from this many attempts on.
    static constexpr std::uint32_t min_samples = 3;
    /// The most that a declared size is raised by.
    static constexpr double max_size_ratio = 10.0;
};

} // namespace rattanmount::scheduling
