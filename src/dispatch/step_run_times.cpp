#include "dispatch/step_run_times.h"

#include "dispatch/moving_median.h"

#include <cstdint>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Number of runs that are compared with each other.
constexpr std::size_t batch_size = 32;
/// With fewer runs, nothing is known about the step.
constexpr std::size_t least_runs = 3;

} // namespace

void step_run_times::add(const entry& run) {
    this->batch.push_back(run);
    std::vector<double> times;
    times.reserve(this->batch.size());
    for (const auto& one : this->batch) {
        times.push_back(static_cast<double>(one.taken.count()) / one.factor);
    }
    if (times.size() >= least_runs) {
        this->usual = core::milliseconds{static_cast<std::int64_t>(median_of(std::move(times)))};
    }
}

core::milliseconds step_run_times::usual_time() const {
    return this->usual;
}

bool step_run_times::has_batch() const {
    return this->batch.size() >= batch_size;
}

std::vector<step_run_times::entry> step_run_times::take_batch() {
    return std::exchange(this->batch, {});
}

} // namespace rattanmount::dispatch
