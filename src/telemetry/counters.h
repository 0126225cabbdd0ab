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

/// Tells apart the series of one name, for example {"pool", "previews"}.
struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

/// The labels of a series, in the order in which they are written.
using labels = std::vector<label>;

/// All counters, gauges and distributions of a process.
///
/// Ask for a handle once, keep the reference and use it without any look-up:
/// `auto& starts = counters.counter("rattanmount_task_starts_total", "Starts sent to workers.");`
/// The same name and labels give the same handle. Names hold a to z, 0 to 9 and _; by custom a counter's
/// name ends in "_total" and a distribution's in "_seconds".
/// The entry host owns one; any thread may call it, and handles hold as long as it lives.
class counters {
public:
    /// Series of one name; those asked for beyond share one series whose labels all have the value "other".
    static constexpr std::size_t max_series = 1000;

    /// @param clock where distributions take the time from.
    explicit counters(core::clock_hooks clock = {});

    /// @param name its name.
    /// @param help what it counts, one line.
    /// @param labels what tells it from others of the name.
    /// @return the counter.
    /// @throws core::invalid_argument where the name or a label is not valid or the name is of another kind.
    [[nodiscard]] telemetry::counter& counter(const std::string& name, const std::string& help,
                                              const telemetry::labels& labels = {});

    /// @param name its name.
    /// @param help what it shows, with its unit, one line.
    /// @param labels what tells it from others of the name.
    /// @return the gauge.
    /// @throws core::invalid_argument as counter() does.
    [[nodiscard]] telemetry::gauge& gauge(const std::string& name, const std::string& help,
                                          const telemetry::labels& labels = {});

    /// @param name its name.
    /// @param help which times it holds, one line.
    /// @param labels what tells it from others of the name.
    /// @return the distribution.
    /// @throws core::invalid_argument as counter() does.
    [[nodiscard]] telemetry::distribution& distribution(const std::string& name, const std::string& help,
                                                        const telemetry::labels& labels = {});

    /// @return all series in the text form that the usual collectors read; times in seconds.
    [[nodiscard]] std::string render() const;

private:
    template <typename Metric>
    struct family {
        std::string help;
        std::map<telemetry::labels, Metric> series; ///< Addresses stay when others are added.
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
    std::map<std::string, any_family> families; ///< By name, so that the text is in a fixed order.
};

} // namespace rattanmount::telemetry
