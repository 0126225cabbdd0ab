#include "telemetry/metrics_registry.h"

#include "core/errors.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace rattanmount::telemetry {

namespace {

void check_name(const std::string& name) {
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyz0123456789_";
    const bool has_valid_start = !name.empty() && (name[0] < '0' || name[0] > '9');
    if (!has_valid_start || name.find_first_not_of(allowed) != std::string::npos) {
        throw core::invalid_argument("expected a metric or label name of a-z, 0-9 and _, got '" + name + "'");
    }
}

/// Escapes backslashes, line feeds and, if requested, double quotes.
std::string escape(const std::string& text, bool escape_quotes) {
    std::string result;
    for (const char letter : text) {
        if (letter == '\n') {
            result += "\\n";
            continue;
        }
        if (letter == '\\' || (escape_quotes && letter == '"')) {
            result += '\\';
        }
        result += letter;
    }
    return result;
}

/// @return for example "{pool=\"a\"}"; "" if there are no labels.
std::string label_text(const labels& each) {
    if (each.empty()) {
        return "";
    }
    std::string text;
    for (const auto& [name, value] : each) {
        text += (text.empty() ? "{" : ",") + name + "=\"" + escape(value, true) + "\"";
    }
    return text + "}";
}

labels with_quantile(labels each, const char* quantile) {
    each.push_back({.name = "quantile", .value = quantile});
    return each;
}

void render_header(const std::string& name, const std::string& help, const char* type, std::string& text) {
    text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, escape(help, false), type);
}

void render_value(const std::string& name, const labels& each, double value, std::string& text) {
    text += fmt::format("{}{} {}\n", name, label_text(each), value);
}

} // namespace

metrics_registry::metrics_registry(core::clock_hooks clock) : clock(std::move(clock)) {}

telemetry::counter& metrics_registry::counter(const std::string& name, const std::string& help,
                                              const telemetry::labels& labels) {
    return this->find<telemetry::counter>(name, help, labels);
}

telemetry::gauge& metrics_registry::gauge(const std::string& name, const std::string& help,
                                          const telemetry::labels& labels) {
    return this->find<telemetry::gauge>(name, help, labels);
}

telemetry::distribution& metrics_registry::distribution(const std::string& name, const std::string& help,
                                                        const telemetry::labels& labels) {
    return this->find<telemetry::distribution>(name, help, labels);
}

template <typename Metric>
Metric& metrics_registry::add(family<Metric>& family, const telemetry::labels& labels) {
    if constexpr (std::is_same_v<Metric, telemetry::distribution>) {
        return family.series.try_emplace(labels, this->clock.steady).first->second;
    } else {
        return family.series[labels];
    }
}

template <typename Metric>
Metric& metrics_registry::find(const std::string& name, const std::string& help,
                               const telemetry::labels& labels) {
    check_name(name);
    for (const auto& each : labels) {
        check_name(each.name);
    }
    const std::lock_guard lock{this->mutex};
    const auto [place, added] = this->families.try_emplace(name, family<Metric>{.help = help, .series = {}});
    auto* found = std::get_if<family<Metric>>(&place->second);
    if (found == nullptr) {
        throw core::invalid_argument("the metric '" + name + "' already exists with another type");
    }
    if (found->series.size() < max_series || found->series.count(labels) == 1) {
        return this->add(*found, labels);
    }
    auto overflow_labels = labels;
    std::for_each(overflow_labels.begin(), overflow_labels.end(), [](label& each) { each.value = "other"; });
    return this->add(*found, overflow_labels);
}

std::string metrics_registry::render() const {
    std::string text;
    const std::lock_guard lock{this->mutex};
    for (const auto& [name, any] : this->families) {
        std::visit([&, &key = name](const auto& family) { render_family(key, family, text); }, any);
    }
    return text;
}

void metrics_registry::render_family(const std::string& name, const family<telemetry::counter>& family,
                                     std::string& text) {
    render_header(name, family.help, "counter", text);
    for (const auto& [each, metric] : family.series) {
        text += fmt::format("{}{} {}\n", name, label_text(each), metric.value());
    }
}

void metrics_registry::render_family(const std::string& name, const family<telemetry::gauge>& family,
                                     std::string& text) {
    render_header(name, family.help, "gauge", text);
    for (const auto& [each, metric] : family.series) {
        render_value(name, each, metric.value(), text);
    }
}

void metrics_registry::render_family(const std::string& name, const family<telemetry::distribution>& family,
                                     std::string& text) {
    std::string max_text;
    render_header(name, family.help, "summary", text);
    render_header(name + "_max", "The greatest value of " + name + ".", "gauge", max_text);
    for (const auto& [each, metric] : family.series) {
        const auto summary = metric.summary();
        if (summary.count > 0) {
            render_value(name, with_quantile(each, "0.5"), summary.median.count(), text);
            render_value(name, with_quantile(each, "0.9"), summary.p90.count(), text);
            render_value(name, with_quantile(each, "0.99"), summary.p99.count(), text);
        }
        render_value(name + "_sum", each, summary.sum.count(), text);
        text += fmt::format("{}_count{} {}\n", name, label_text(each), summary.count);
        render_value(name + "_max", each, summary.max.count(), max_text);
    }
    text += max_text;
}

} // namespace rattanmount::telemetry
