#pragma once

#include <cstdint>
#include <string_view>

namespace rattanmount::tenancy {

/// A hash function (SipHash-2-4) that depends on a secret seed, so that whoever chooses the input can neither
/// provoke collisions nor find the input of a hash.
///
/// A value type.
class keyed_hash {
public:
    /// @param low the lower half of the seed.
    /// @param high the upper half of the seed.
    keyed_hash(std::uint64_t low, std::uint64_t high) : low(low), high(high) {}

    /// @return a hash function with a random seed.
    [[nodiscard]] static keyed_hash with_random_seed();

    /// @param text the bytes to hash.
    /// @return their hash.
    [[nodiscard]] std::uint64_t hash(std::string_view text) const;

private:
    std::uint64_t low;
    std::uint64_t high;
};

} // namespace rattanmount::tenancy
