#include "core/resources.h"

#include <algorithm>

namespace rattanmount::core {

namespace {

double share_of(std::int64_t amount, std::int64_t total) {
    return total <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(total);
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

bool resources::fits_in(const resources& available) const {
    return this->millicores <= available.millicores && this->memory_mb <= available.memory_mb &&
           this->accelerators <= available.accelerators;
}

bool resources::valid() const {
    return this->millicores >= 0 && this->memory_mb >= 0 && this->accelerators >= 0;
}

std::string resources::first_excess(const resources& available) const {
    if (this->millicores > available.millicores) {
        return "processors";
    }
    if (this->memory_mb > available.memory_mb) {
        return "memory";
    }
    return this->accelerators > available.accelerators ? "accelerators" : "";
}

double resources::dominant_share(const resources& total) const {
    return std::max({0.0, share_of(this->millicores, total.millicores),
                     share_of(this->memory_mb, total.memory_mb),
                     share_of(this->accelerators, total.accelerators)});
}

std::string resources::text() const {
    return std::to_string(this->millicores) + "m " + std::to_string(this->memory_mb) + "MB " +
           std::to_string(this->accelerators) + "acc";
}

} // namespace rattanmount::core
