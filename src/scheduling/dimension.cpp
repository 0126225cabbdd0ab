#include "scheduling/dimension.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

std::int64_t times(std::int64_t part, std::int64_t whole, std::int64_t most) {
    return part <= 0 ? most : std::min(most, whole / part);
}

} // namespace

std::int64_t count_fitting(const core::resources& size, const core::resources& room, std::int64_t most) {
    if (!size.fits_in(room)) {
        return 0;
    }
    most = times(size.millicores, room.millicores, most);
    most = times(size.memory_mb, room.memory_mb, most);
    return times(size.accelerators, room.accelerators, most);
}

} // namespace rattanmount::scheduling
