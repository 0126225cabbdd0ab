#pragma once

#include <cstdint>
#include <string_view>

namespace rattanmount::ledger {

/// @return the 64-bit FNV-1a hash of the bytes, the same in every process and version. Not
///         collision-resistant against deliberate attacks.
[[nodiscard]] constexpr std::uint64_t stable_hash(std::string_view bytes) {
    constexpr std::uint64_t basis = 0xCBF29CE484222325U;
    constexpr std::uint64_t prime = 0x100000001B3U;
    std::uint64_t hash = basis;
    for (const char byte : bytes) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    }
    return hash;
}

} // namespace rattanmount::ledger
