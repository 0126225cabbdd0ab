#include "runtime/configuration_cache.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanmount::runtime {

void configuration_cache::apply(std::shared_ptr<const workflow::configuration> value) {
    const std::lock_guard guard{this->mutex};
    this->version = std::move(value);
}

void configuration_cache::confirm(core::steady_time asked_at) {
    const std::lock_guard guard{this->mutex};
    this->confirmed_at = std::max(this->confirmed_at.value_or(asked_at), asked_at);
}

configuration_view configuration_cache::view(core::steady_time now) {
    const std::lock_guard guard{this->mutex};
    if (this->version == nullptr || !this->confirmed_at) {
        return {.version = this->version};
    }
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - *this->confirmed_at);
    const bool is_current = age < this->max_age;
    if (is_current != this->was_current) {
        this->was_current = is_current;
        telemetry::log_state(
            is_current ? "configuration is current"
                       : "configuration may be old; refusing what depends on routes",
            {{"version", std::to_string(this->version->version)}, {"age_ms", std::to_string(age.count())}});
    }
    return {.version = this->version, .is_current = is_current};
}

} // namespace rattanmount::runtime
