#include "telemetry/event_list.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace rattanmount::telemetry {

namespace {

bool before(const event& left, const event& right) {
    return std::tie(left.at, left.host, left.incarnation) < std::tie(right.at, right.host, right.incarnation);
}

bool is_about_job(const event& each, const std::string& job) {
    const auto& text = each.about.job;
    return text == job || (text.size() > job.size() && text[job.size()] == '#' && text.starts_with(job));
}

} // namespace

std::vector<event> merge(std::vector<std::vector<event>> lists) {
    std::vector<event> result;
    for (auto& list : lists) {
        std::move(list.begin(), list.end(), std::back_inserter(result));
    }
    std::stable_sort(result.begin(), result.end(), before);
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

std::vector<event> filter_events(const std::vector<event>& events, const event_filter& filter) {
    std::vector<event> result;
    std::copy_if(events.begin(), events.end(), std::back_inserter(result), [&](const event& each) {
        return (filter.job.empty() || is_about_job(each, filter.job)) &&
               (filter.worker.empty() || each.about.worker == filter.worker) &&
               (filter.host.empty() || each.host == filter.host);
    });
    return result;
}

} // namespace rattanmount::telemetry
