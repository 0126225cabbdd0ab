#include "settings/contradictions.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::settings {

namespace {

/// @return whether a place is the given setting or a part of it.
bool is_within(const std::string& place, const std::string& setting) {
    if (place.compare(0, setting.size(), setting) != 0) {
        return false;
    }
    return place.size() == setting.size() || place[setting.size()] == '.' || place[setting.size()] == '[';
}

} // namespace

contradictions::contradictions(const std::vector<fault>& known) : known(known) {}

void contradictions::check(const std::vector<std::string>& paths, bool holds, const std::string& message) {
    assert(!paths.empty());
    const bool usable = std::none_of(paths.begin(), paths.end(),
                                     [this](const std::string& path) { return this->at_fault(path); });
    if (usable && !holds) {
        this->found.push_back({.place = paths.front(), .message = message});
    }
}

bool contradictions::at_fault(const std::string& path) const {
    return std::any_of(this->known.begin(), this->known.end(), [&](const fault& each) {
        return is_within(each.place, path) || is_within(path, each.place);
    });
}

} // namespace rattanmount::settings
