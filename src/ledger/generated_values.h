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
/// Conversion of the small values that the generated types of all records share.

namespace rattanmount::ledger {

/// @param number the number of an enumerator.
/// @param last the enumeration's last one.
/// @param field what is read, for the error.
/// @return the enumerator.
/// @throws core::invalid_argument where there is none of that number.
template <typename Enum>
[[nodiscard]] Enum to_enum(std::int32_t number, Enum last, std::string_view field) {
    if (number < 0 || number > static_cast<std::int32_t>(last)) {
        throw core::invalid_argument(std::string{field} + ": " + std::to_string(number) + " names no value");
    }
    return static_cast<Enum>(number);
}

/// @param number the number of an end of an attempt.
/// @return the end.
/// @throws core::invalid_argument where there is none of that number.
[[nodiscard]] core::attempt_end to_attempt_end(std::int32_t number);

/// @param number the number of an outcome.
/// @return the outcome.
/// @throws core::invalid_argument where there is none of that number.
[[nodiscard]] core::outcome to_outcome(std::int32_t number);

/// @param number the number of a kind of work.
/// @return the kind.
/// @throws core::invalid_argument where there is none of that number.
[[nodiscard]] core::work_kind to_work_kind(std::int32_t number);

/// @param value an enumerator.
/// @return its number.
template <typename Enum>
[[nodiscard]] std::int32_t enum_number(Enum value) {
    return static_cast<std::int32_t>(value);
}

/// @param id a number_id.
/// @return its number.
template <typename Id>
[[nodiscard]] std::int64_t id_number(Id id) {
    return static_cast<std::int64_t>(id.value());
}

/// @param number the number of a number_id.
/// @return the id.
template <typename Id>
[[nodiscard]] Id to_id(std::int64_t number) {
    return Id{static_cast<std::uint64_t>(number)};
}

/// @param time a point of the calendar.
/// @return milliseconds since 1970.
[[nodiscard]] std::int64_t milliseconds_of(core::system_time time);

/// @param milliseconds milliseconds since 1970.
/// @return the point of the calendar.
/// @throws core::invalid_argument where it is after the year 9999.
[[nodiscard]] core::system_time to_time(std::int64_t milliseconds);

/// @param value a value of the package core.
/// @return the same value as generated type.
[[nodiscard]] gen::job_key to_key(const core::job_id& value);
[[nodiscard]] gen::amounts to_amounts(const core::resources& value);

/// @param value a value as generated type.
/// @return the same value as type of the package core.
[[nodiscard]] core::job_id to_job_id(gen::job_key&& value);
[[nodiscard]] core::resources to_resources(const gen::amounts& value);

/// @param table the producers whose batches counted.
/// @return them as generated type, from the oldest to the newest.
[[nodiscard]] std::vector<gen::producer_data> to_generated(const producer_table& table);

/// @param producers the producers as generated type, from the oldest to the newest.
/// @param table where they are put; cleared before.
void from_generated(const std::vector<gen::producer_data>& producers, producer_table& table);

} // namespace rattanmount::ledger
