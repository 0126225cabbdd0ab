#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace rattanmount::core {

/// A text that names one kind of thing, so that a worker's name cannot be passed as a team's.
///
/// A value type: copy it freely, any thread may use its own copy.
/// @tparam Tag an incomplete type that tells the kinds apart.
template <typename Tag>
class text_id {
public:
    text_id() = default;

    /// @param text the name; may be empty, which means "none".
    explicit text_id(std::string text) : text(std::move(text)) {}

    /// @return the name as text.
    [[nodiscard]] const std::string& value() const { return this->text; }

    /// @return whether the id names nothing.
    [[nodiscard]] bool empty() const { return this->text.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;

private:
    std::string text;
};

/// A number that names or orders one kind of thing.
///
/// A value type: copy it freely, any thread may use its own copy.
/// @tparam Tag an incomplete type that tells the kinds apart.
template <typename Tag>
class number_id {
public:
    constexpr number_id() = default;

    /// @param number the number; 0 is the default and usually means "none yet".
    constexpr explicit number_id(std::uint64_t number) : number(number) {}

    /// @return the number itself.
    [[nodiscard]] constexpr std::uint64_t value() const { return this->number; }

    /// @return the id that follows this one.
    [[nodiscard]] constexpr number_id next() const { return number_id{this->number + 1}; }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;

private:
    std::uint64_t number = 0;
};

} // namespace rattanmount::core

template <typename Tag>
struct std::hash<rattanmount::core::text_id<Tag>> {
    std::size_t operator()(const rattanmount::core::text_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value());
    }
};

template <typename Tag>
struct std::hash<rattanmount::core::number_id<Tag>> {
    std::size_t operator()(const rattanmount::core::number_id<Tag>& id) const noexcept {
        return std::hash<std::uint64_t>{}(id.value());
    }
};
