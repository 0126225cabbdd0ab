#include "dispatch/worker_speeds.h"

namespace rattanmount::dispatch {

namespace {

/// Number of last runs that count.
constexpr std::size_t worker_window = 9;
constexpr std::size_t kind_window = 63;
constexpr std::size_t queue_window = 63;
/// With fewer runs, a worker has the factor of its kind, and the ratio of a queue counts as 1.
constexpr std::size_t least_runs = 3;
/// Factors between this and its inverse count as 1.
constexpr double least_difference = 1.25;

double ratio_of(const timed_run& run) {
    return static_cast<double>(run.taken.count()) / static_cast<double>(run.expected.count());
}

bool has_times(const timed_run& run) {
    return run.taken.count() > 0 && run.expected.count() > 0;
}

/// @return the kind of a worker: its first label that is not the name of its rack.
workflow::worker_label kind_of(const worker_entry& worker) {
    for (const auto& label : worker.labels) {
        if (label.value() != worker.rack.value()) {
            return label;
        }
    }
    return {};
}

template <typename Key>
const moving_median* find_known(const std::unordered_map<Key, moving_median>& medians, const Key& key) {
    const auto found = medians.find(key);
    return found == medians.end() || found->second.size() < least_runs ? nullptr : &found->second;
}

} // namespace

void worker_speeds::add(const worker_entry& worker, const timed_run& run) {
    if (!has_times(run)) {
        return;
    }
    const auto ratio = ratio_of(run);
    this->workers.try_emplace(worker.worker, worker_window).first->second.add(ratio);
    this->kinds.try_emplace(kind_of(worker), kind_window).first->second.add(ratio);
}

void worker_speeds::add_estimate(const workflow::queue_id& queue, const timed_run& run, double factor) {
    if (has_times(run)) {
        this->queues.try_emplace(queue, queue_window).first->second.add(ratio_of(run) / factor);
    }
}

double worker_speeds::factor_of(const worker_entry& worker) const {
    const auto* known = find_known(this->workers, worker.worker);
    if (known == nullptr) {
        known = find_known(this->kinds, kind_of(worker));
    }
    if (known == nullptr) {
        return 1;
    }
    const auto factor = known->value();
    return factor < least_difference && factor > 1 / least_difference ? 1 : factor;
}

double worker_speeds::estimate_ratio(const workflow::queue_id& queue) const {
    const auto* known = find_known(this->queues, queue);
    return known == nullptr ? 1 : known->value();
}

void worker_speeds::reset() {
    this->workers.clear();
    this->kinds.clear();
    this->queues.clear();
}

} // namespace rattanmount::dispatch
