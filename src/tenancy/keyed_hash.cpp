#include "tenancy/keyed_hash.h"

#include <bit>
#include <cstddef>
#include <random>

namespace rattanmount::tenancy {

namespace {

constexpr std::size_t word_bytes = 8;
constexpr unsigned bits_per_byte = 8;
constexpr int compression_rounds = 2;
constexpr int finalization_rounds = 4;
constexpr std::uint64_t finalization_mark = 0xff;

/// The internal state of SipHash; the initial values and the rotations are those of its definition.
struct sip_state {
    std::uint64_t v0;
    std::uint64_t v1;
    std::uint64_t v2;
    std::uint64_t v3;

    sip_state(std::uint64_t low, std::uint64_t high)
        : v0(low ^ 0x736f6d6570736575U), v1(high ^ 0x646f72616e646f6dU), v2(low ^ 0x6c7967656e657261U),
          v3(high ^ 0x7465646279746573U) {}

    void run(int rounds) {
        for (int i = 0; i < rounds; i++) {
            this->v0 += this->v1;
            this->v2 += this->v3;
            this->v1 = std::rotl(this->v1, 13) ^ this->v0;
            this->v3 = std::rotl(this->v3, 16) ^ this->v2;
            this->v0 = std::rotl(this->v0, 32);
            this->v2 += this->v1;
            this->v0 += this->v3;
            this->v1 = std::rotl(this->v1, 17) ^ this->v2;
            this->v3 = std::rotl(this->v3, 21) ^ this->v0;
            this->v2 = std::rotl(this->v2, 32);
        }
    }

    void add(std::uint64_t word) {
        this->v3 ^= word;
        this->run(compression_rounds);
        this->v0 ^= word;
    }

    [[nodiscard]] std::uint64_t finish() {
        this->v2 ^= finalization_mark;
        this->run(finalization_rounds);
        return this->v0 ^ this->v1 ^ this->v2 ^ this->v3;
    }
};

/// @return up to eight bytes as a number, the first byte lowest.
std::uint64_t read_word(std::string_view bytes) {
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < bytes.size(); i++) {
        word |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (bits_per_byte * i);
    }
    return word;
}

} // namespace

keyed_hash keyed_hash::with_random_seed() {
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> numbers;
    const auto low = numbers(source);
    return {low, numbers(source)};
}

std::uint64_t keyed_hash::hash(std::string_view text) const {
    sip_state state{this->low, this->high};
    auto rest = text;
    while (rest.size() >= word_bytes) {
        state.add(read_word(rest.substr(0, word_bytes)));
        rest.remove_prefix(word_bytes);
    }
    constexpr unsigned length_shift = bits_per_byte * (word_bytes - 1);
    state.add(read_word(rest) | (std::uint64_t{text.size()} << length_shift));
    return state.finish();
}

} // namespace rattanmount::tenancy
