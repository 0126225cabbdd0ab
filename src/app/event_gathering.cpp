#include "app/event_gathering.h"

#include "core/errors.h"
#include "telemetry/event_list.h"
#include "telemetry/event_text.h"

#include <future>
#include <utility>

namespace rattanmount::app {

std::vector<telemetry::event> gather_events(const std::vector<core::endpoint>& hosts,
                                            const event_gathering_options& options) {
    std::vector<std::future<std::vector<telemetry::event>>> pending;
    pending.reserve(hosts.size());
    for (const auto& host : hosts) {
        pending.push_back(std::async(std::launch::async, [&options, host] {
            return telemetry::parse_json_lines(options.read_host(host));
        }));
    }
    std::vector<std::vector<telemetry::event>> lists;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        try {
            lists.push_back(pending[i].get());
        } catch (const core::error& error) {
            options.warn("no events from " + hosts[i].text() + ": " + error.what());
        }
    }
    if (lists.empty()) {
        throw core::unavailable("the events of no entry host could be read");
    }
    return telemetry::merge(std::move(lists));
}

} // namespace rattanmount::app
