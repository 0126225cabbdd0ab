#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace rattanmount::core {

/// A strongly typed string identifier, so that for example a worker's name cannot be passed as a team's.
///
/// A value type.
/// @tparam Tag an incomplete type that distinguishes this identifier type from others.
template <typename Tag>
class text_id {
public:
    text_id() = default;

    /// @param text the name; an empty text means "none".
    explicit text_id(std::string text) : text(std::move(text)) {}

    [[nodiscard]] const std::string& value() const { return this->text; }

    [[nodiscard]] bool empty() const { return this->text.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;

private:
    std::string text;
};

/// A strongly typed number that identifies or orders values of one kind.
///
/// A value type.
/// @tparam Tag an incomplete type that distinguishes this number type from others.
template <typename Tag>
class number_id {
public:
    constexpr number_id() = default;

    /// @param number the number; the default, 0, usually means "none yet".
    constexpr explicit number_id(std::uint64_t number) : number(number) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return this->number; }

    /// @return the number that follows this one.
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
