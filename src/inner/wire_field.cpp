#include "inner/wire_field.h"

#include "core/errors.h"

#include <string>

namespace rattanmount::inner {

namespace {

void require_not_negative(std::int64_t number, const char* field) {
    if (number < 0) {
        throw core::invalid_argument(std::string{field} + ": is negative");
    }
}

} // namespace

void require(bool present, const char* field) {
    if (!present) {
        throw core::invalid_argument(std::string{field} + ": is missing");
    }
}

std::int32_t count_to_wire(std::uint32_t value) {
    return static_cast<std::int32_t>(value);
}

std::uint32_t count_from_wire(std::int32_t number, const char* field) {
    require_not_negative(number, field);
    return static_cast<std::uint32_t>(number);
}

std::uint64_t unsigned_from_wire(std::int64_t number, const char* field) {
    require_not_negative(number, field);
    return static_cast<std::uint64_t>(number);
}

core::milliseconds duration_from_wire(std::int64_t wire_ms, const char* field) {
    require_not_negative(wire_ms, field);
    return core::milliseconds{wire_ms};
}

} // namespace rattanmount::inner
