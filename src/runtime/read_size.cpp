#include "runtime/read_size.h"

#include <algorithm>

namespace rattanmount::runtime {

void read_size::on_answer() {
    this->size = std::min(this->size + this->options.step, this->options.most);
}

void read_size::on_failure() {
    this->size = std::max(this->size / 2, this->options.least);
}

void read_size::on_nothing_fits() {
    this->size = std::min(this->size * 2, this->options.most);
}

} // namespace rattanmount::runtime
