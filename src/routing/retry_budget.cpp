#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::routing {

retry_budget::retry_budget(retry_budget_options options) : options(options), balance(options.max_saved) {
    assert(options.per_request >= 0 && options.max_saved >= 0);
}

void retry_budget::on_request() {
    this->balance = std::min(this->options.max_saved, this->balance + this->options.per_request);
}

bool retry_budget::take() {
    if (this->balance < 1) {
        return false;
    }
    this->balance -= 1;
    return true;
}

} // namespace rattanmount::routing
