#include "runtime/peer_directory.h"

#include <set>

namespace rattanmount::runtime {

void peer_directory::set_members(const std::vector<workflow::member_record>& members) {
    const std::lock_guard guard{this->mutex};
    std::set<core::incarnation_id> current;
    for (const auto& member : members) {
        if (member.incarnation == this->self) {
            continue;
        }
        current.insert(member.incarnation);
        if (!this->known.contains(member.incarnation)) {
            this->known.emplace(member.incarnation, this->connect(member.inner));
        }
    }
    std::erase_if(this->known, [&](const auto& entry) { return !current.contains(entry.first); });
}

std::optional<peer_directory::peer> peer_directory::find(const core::incarnation_id& incarnation) {
    const std::lock_guard guard{this->mutex};
    const auto found = this->known.find(incarnation);
    return found == this->known.end()
               ? std::nullopt
               : std::optional{peer{.incarnation = incarnation, .calls = found->second}};
}

std::vector<peer_directory::peer> peer_directory::peers() {
    const std::lock_guard guard{this->mutex};
    std::vector<peer> all;
    for (const auto& [incarnation, calls] : this->known) {
        all.push_back({.incarnation = incarnation, .calls = calls});
    }
    return all;
}

} // namespace rattanmount::runtime
