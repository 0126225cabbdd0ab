#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

namespace rattanmount::inner {

/// @file
/// Checks and conversions of single fields of messages, for the functions of conversion.h. Pure functions.

/// Requires that a field is present.
/// @param field the name of the field, for the error message.
/// @throws core::invalid_argument if it is missing.
void require(bool present, const char* field);

/// @return the wire value of a count.
[[nodiscard]] std::int32_t count_to_wire(std::uint32_t value);

/// @return the count for a wire value.
/// @param field the name of the field, for the error message.
/// @throws core::invalid_argument if the value is negative.
[[nodiscard]] std::uint32_t count_from_wire(std::int32_t number, const char* field);

/// @return the value of an unsigned field that the protocol holds in a signed number.
/// @param field the name of the field, for the error message.
/// @throws core::invalid_argument if the number is negative.
[[nodiscard]] std::uint64_t unsigned_from_wire(std::int64_t number, const char* field);

/// @return the numeric id for a wire value.
/// @tparam Id the type of the id.
/// @param field the name of the field, for the error message.
/// @throws core::invalid_argument if the number is negative.
template <typename Id>
[[nodiscard]] Id id_from_wire(std::int64_t number, const char* field) {
    return Id{unsigned_from_wire(number, field)};
}

/// @return the duration for a wire value.
/// @param wire_ms the duration in milliseconds.
/// @param field the name of the field, for the error message.
/// @throws core::invalid_argument if the value is negative.
[[nodiscard]] core::milliseconds duration_from_wire(std::int64_t wire_ms, const char* field);

/// @return the elements of a list, converted one by one.
template <typename List, typename Convert>
[[nodiscard]] auto convert_list(const List& list, const Convert& convert) {
    std::vector<decltype(convert(*list.begin()))> converted;
    converted.reserve(list.size());
    std::transform(list.begin(), list.end(), std::back_inserter(converted), convert);
    return converted;
}

} // namespace rattanmount::inner
