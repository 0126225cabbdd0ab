#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::routing {

retry_budget::retry_budget(retry_budget_options options) : options(options), saved(options.most) {
    assert(options.per_request >= 0 && options.most >= 0);
}

void retry_budget::on_request() {
    this->saved = std::min(this->options.most, this->saved + this->options.per_request);
}

bool retry_budget::take() {
    if (this->saved < 1) {
        return false;
    }
    this->saved -= 1;
    return true;
}

} // namespace rattanmount::routing
