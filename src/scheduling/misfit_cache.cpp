#include "scheduling/misfit_cache.h"

#include <algorithm>

namespace rattanmount::scheduling {

void misfit_cache::refresh(const worker_table& workers) {
    std::erase_if(this->entries, [&](const entry& known) {
        return workers.may_fit_since(this->version, known.size, known.urgent);
    });
    this->version = workers.version();
}

void misfit_cache::add(const core::resources& size, bool urgent) {
    std::erase_if(this->entries,
                  [&](const entry& known) { return size.fits_in(known.size) && (urgent || !known.urgent); });
    if (this->entries.size() < misfit_cache::max_entries) {
        this->entries.push_back({.size = size, .urgent = urgent});
    }
}

bool misfit_cache::fits_nowhere(const core::resources& size, bool urgent) const {
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const entry& known) {
        return known.size.fits_in(size) && (known.urgent || !urgent);
    });
}

} // namespace rattanmount::scheduling
