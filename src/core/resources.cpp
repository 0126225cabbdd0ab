#include "core/resources.h"

#include <algorithm>

namespace rattanmount::core {

namespace {

double quotient(std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

resources& resources::operator+=(const resources& other) {
    this->millicores += other.millicores;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    this->millicores -= other.millicores;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
}

resources operator*(resources amount, std::int64_t count) {
    amount.millicores *= count;
    amount.memory_mb *= count;
    amount.accelerators *= count;
    return amount;
}

bool resources::fits_in(const resources& room) const {
    return this->millicores <= room.millicores && this->memory_mb <= room.memory_mb &&
           this->accelerators <= room.accelerators;
}

bool resources::valid() const {
    return this->millicores >= 0 && this->memory_mb >= 0 && this->accelerators >= 0;
}

std::string resources::first_excess(const resources& room) const {
    if (this->millicores > room.millicores) {
        return "processors";
    }
    if (this->memory_mb > room.memory_mb) {
        return "memory";
    }
    return this->accelerators > room.accelerators ? "accelerators" : "";
}

double resources::dominant_share(const resources& total) const {
    return std::max({0.0, quotient(this->millicores, total.millicores),
                     quotient(this->memory_mb, total.memory_mb),
                     quotient(this->accelerators, total.accelerators)});
}

std::string resources::text() const {
    return std::to_string(this->millicores) + "m " + std::to_string(this->memory_mb) + "MB " +
           std::to_string(this->accelerators) + "acc";
}

} // namespace rattanmount::core
