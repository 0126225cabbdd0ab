#include "tenancy/key_ring.h"

#include <iomanip>
#include <sstream>

namespace rattanmount::tenancy {

namespace {

/// @return the hash function of this process.
const keyed_hash& process_hash() {
    static const auto hash = keyed_hash::with_random_seed();
    return hash;
}

/// Compares two texts in a time that depends only on their lengths.
bool equal_in_constant_time(const std::string& left, const std::string& right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); i++) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace

key_ring::key_ring(const std::vector<team_policy>& teams) : hash(process_hash()) {
    for (const auto& policy : teams) {
        for (const auto& key : policy.keys) {
            this->add(key, policy.team);
        }
    }
}

void key_ring::add(const api_key& key, const core::team_id& team) {
    if (key.empty()) {
        return;
    }
    const auto hashed = this->hash.hash(key.value());
    const auto [begin, end] = this->owners.equal_range(hashed);
    for (auto place = begin; place != end; ++place) {
        auto& known = place->second;
        if (known.key == key) {
            known.ambiguous = known.ambiguous || known.team != team;
            return;
        }
    }
    this->owners.emplace(hashed, owner{.key = key, .team = team});
}

std::optional<core::team_id> key_ring::team_of(const api_key& key) const {
    std::optional<core::team_id> team;
    const auto [begin, end] = this->owners.equal_range(this->hash.hash(key.value()));
    for (auto place = begin; place != end; ++place) {
        const auto& known = place->second;
        if (equal_in_constant_time(known.key.value(), key.value()) && !known.ambiguous) {
            team = known.team;
        }
    }
    return team;
}

std::string fingerprint_of(const api_key& key) {
    constexpr std::uint64_t shown_bits = 0xffffffff;
    constexpr int shown_digits = 8;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(shown_digits)
         << (process_hash().hash(key.value()) & shown_bits);
    return text.str();
}

} // namespace rattanmount::tenancy
