#include "dispatch/moving_median.h"

#include <algorithm>

namespace rattanmount::dispatch {

void moving_median::add(double value) {
    if (this->values.size() < this->window) {
        this->values.push_back(value);
    } else {
        this->values[this->next] = value;
        this->next = (this->next + 1) % this->window;
    }
    this->median = median_of(this->values);
}

double median_of(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace rattanmount::dispatch
