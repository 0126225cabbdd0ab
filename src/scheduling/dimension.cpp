#include "scheduling/dimension.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

std::int64_t capped_quotient(std::int64_t divisor, std::int64_t dividend, std::int64_t max_count) {
    return divisor <= 0 ? max_count : std::min(max_count, dividend / divisor);
}

} // namespace

std::int64_t count_fitting(const core::resources& size, const core::resources& free, std::int64_t max_count) {
    if (!size.fits_in(free)) {
        return 0;
    }
    max_count = capped_quotient(size.millicores, free.millicores, max_count);
    max_count = capped_quotient(size.memory_mb, free.memory_mb, max_count);
    return capped_quotient(size.accelerators, free.accelerators, max_count);
}

} // namespace rattanmount::scheduling
