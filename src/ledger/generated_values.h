#pragma once

#include "core/errors.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/outcome.h"
#include "core/resources.h"
#include "core/time.h"
#include "ledger/producer_table.h"

#include <cstdint>
#include <records_types.h>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Conversion between the program's types and the generated Thrift types: the values that all records share.

namespace rattanmount::ledger {

/// Converts a number to an enumerator.
/// @param last the last enumerator of the enumeration.
/// @param field the name of the field, for the error.
/// @throws core::invalid_argument if the number is not an enumerator.
template <typename Enum>
[[nodiscard]] Enum to_enum(std::int32_t number, Enum last, std::string_view field) {
    if (number < 0 || number > static_cast<std::int32_t>(last)) {
        throw core::invalid_argument(std::string{field} + ": " + std::to_string(number) +
                                     " is not a valid value, expected 0 to " +
                                     std::to_string(static_cast<std::int32_t>(last)));
    }
    return static_cast<Enum>(number);
}

/// @throws core::invalid_argument if the number is not an enumerator.
[[nodiscard]] core::attempt_end to_attempt_end(std::int32_t number);

/// @throws core::invalid_argument if the number is not an enumerator.
[[nodiscard]] core::outcome to_outcome(std::int32_t number);

/// @throws core::invalid_argument if the number is not an enumerator.
[[nodiscard]] core::work_kind to_work_kind(std::int32_t number);

template <typename Enum>
[[nodiscard]] std::int32_t enum_number(Enum value) {
    return static_cast<std::int32_t>(value);
}

/// Converts a core::number_id to the integer type that Thrift uses.
template <typename Id>
[[nodiscard]] std::int64_t id_number(Id id) {
    return static_cast<std::int64_t>(id.value());
}

/// Converts an integer to a core::number_id.
template <typename Id>
[[nodiscard]] Id to_id(std::int64_t number) {
    return Id{static_cast<std::uint64_t>(number)};
}

/// @return milliseconds since 1970.
[[nodiscard]] std::int64_t milliseconds_of(core::system_time time);

/// @param milliseconds since 1970; negative for earlier times.
/// @throws core::invalid_argument if it is after the year 9999, or as far before 1970.
[[nodiscard]] core::system_time to_time(std::int64_t milliseconds);

/// Converts a value of the package core to its generated type.
[[nodiscard]] gen::job_key to_key(const core::job_id& value);
[[nodiscard]] gen::amounts to_amounts(const core::resources& value);

/// Converts a value of a generated type to its type in the package core.
[[nodiscard]] core::job_id to_job_id(gen::job_key&& value);
[[nodiscard]] core::resources to_resources(const gen::amounts& value);

/// @return the producers of the table, least recently applied first.
[[nodiscard]] std::vector<gen::producer_data> to_generated(const producer_table& table);

/// Replaces the contents of a table.
/// @param producers the producers, least recently applied first.
/// @param table the table to fill.
void from_generated(const std::vector<gen::producer_data>& producers, producer_table& table);

} // namespace rattanmount::ledger
