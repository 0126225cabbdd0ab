#include "dispatch/worker_speeds.h"

namespace rattanmount::dispatch {

double worker_speeds::factor_of(const worker_entry& /*worker*/) const {
    return 1;
}

void worker_speeds::reset() {
    this->workers.clear();
    this->kinds.clear();
}

} // namespace rattanmount::dispatch
