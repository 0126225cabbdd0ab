#include "runtime/configuration_cache.h"

#include <algorithm>
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

configuration_view configuration_cache::view(core::steady_time now) const {
    const std::lock_guard guard{this->mutex};
    return {.version = this->version,
            .is_current =
                this->version != nullptr && this->confirmed_at && now < *this->confirmed_at + this->max_age};
}

} // namespace rattanmount::runtime
