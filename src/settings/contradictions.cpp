#include "settings/contradictions.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::settings {

namespace {

/// @return whether a place is the given setting or inside it.
bool is_within(const std::string& place, const std::string& setting) {
    if (place.compare(0, setting.size(), setting) != 0) {
        return false;
    }
    return place.size() == setting.size() || place[setting.size()] == '.' || place[setting.size()] == '[';
}

} // namespace

contradictions::contradictions(const std::vector<fault>& known_faults) : known_faults(known_faults) {}

void contradictions::check(const std::vector<std::string>& paths, bool consistent,
                           const std::string& message) {
    assert(!paths.empty());
    const bool comparable = std::none_of(
        paths.begin(), paths.end(), [this](const std::string& path) { return this->has_known_fault(path); });
    if (comparable && !consistent) {
        this->found.push_back({.place = paths.front(), .message = message});
    }
}

bool contradictions::has_known_fault(const std::string& path) const {
    return std::any_of(this->known_faults.begin(), this->known_faults.end(), [&](const fault& each) {
        return is_within(each.place, path) || is_within(path, each.place);
    });
}

} // namespace rattanmount::settings
