#include "settings/settings_error.h"

#include <cassert>
#include <utility>

namespace rattanmount::settings {

namespace {

std::string describe(const std::vector<fault>& faults) {
    std::string text;
    for (const auto& each : faults) {
        text += (text.empty() ? "" : "\n") + each.place + ": " + each.message;
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<fault> faults)
    : core::invalid_argument(describe(faults)), found(std::move(faults)) {
    assert(!this->found.empty());
}

} // namespace rattanmount::settings
