#pragma once

#include "core/time.h"
#include "telemetry/counter.h"
#include "telemetry/distribution.h"
#include "telemetry/gauge.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace rattanmount::telemetry {

/// Distinguishes the series of one metric, for example {"pool", "previews"}.
struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

/// The labels of a series, in output order.
using labels = std::vector<label>;

/// The registry of all counters, gauges and distributions of a process.
///
/// Look a metric up once and keep the reference, so that updates need no look-up:
/// `auto& starts = metrics.counter("rattanmount_task_starts_total", "Starts sent to workers.");`
/// The same name and labels give the same metric. Names consist of a to z, 0 to 9 and _, and do not start
/// with a digit; by convention a counter's name ends in "_total" and a distribution's in "_seconds".
/// Owned by the entry host; references stay valid for its lifetime. Thread-safe.
class metrics_registry {
public:
    /// The most series per name. All further ones share one series whose labels have the value "other".
    static constexpr std::size_t max_series = 1000;

    /// @param clock the clock of the distributions.
    explicit metrics_registry(core::clock_hooks clock = {});

    /// Returns the counter with the given name and labels, and creates it if needed.
    /// @param help what it counts, one line.
    /// @param labels distinguish it from other series of the same name.
    /// @throws core::invalid_argument if the name or a label name is invalid, or if the name is already used
    ///         by a metric of another type.
    [[nodiscard]] telemetry::counter& counter(const std::string& name, const std::string& help,
                                              const telemetry::labels& labels = {});

    /// Returns the gauge with the given name and labels, and creates it if needed.
    /// @param help what it shows, with its unit, one line.
    /// @param labels distinguish it from other series of the same name.
    /// @throws core::invalid_argument as counter() does.
    [[nodiscard]] telemetry::gauge& gauge(const std::string& name, const std::string& help,
                                          const telemetry::labels& labels = {});

    /// Returns the distribution with the given name and labels, and creates it if needed.
    /// @param help which durations it records, one line.
    /// @param labels distinguish it from other series of the same name.
    /// @throws core::invalid_argument as counter() does.
    [[nodiscard]] telemetry::distribution& distribution(const std::string& name, const std::string& help,
                                                        const telemetry::labels& labels = {});

    /// @return all series in the Prometheus text format, durations in seconds.
    [[nodiscard]] std::string render() const;

private:
    template <typename Metric>
    struct family {
        std::string help;
        std::map<telemetry::labels, Metric> series; ///< A map, so that addresses stay valid on insertion.
    };
    using any_family =
        std::variant<family<telemetry::counter>, family<telemetry::gauge>, family<telemetry::distribution>>;

    template <typename Metric>
    Metric& add(family<Metric>& family, const telemetry::labels& labels);
    template <typename Metric>
    Metric& find(const std::string& name, const std::string& help, const telemetry::labels& labels);

    static void render_family(const std::string& name, const family<telemetry::counter>& family,
                              std::string& text);
    static void render_family(const std::string& name, const family<telemetry::gauge>& family,
                              std::string& text);
    static void render_family(const std::string& name, const family<telemetry::distribution>& family,
                              std::string& text);

    core::clock_hooks clock;
    mutable std::mutex mutex;
    std::map<std::string, any_family> families; ///< Sorted by name, so that the output order is fixed.
};

} // namespace rattanmount::telemetry
