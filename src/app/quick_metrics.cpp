#include "app/quick_metrics.h"

namespace rattanmount::app {

namespace {

telemetry::counter& answer_counter(telemetry::metrics_registry& registry, core::outcome result) {
    return registry.counter("rattanmount_quick_answers_total", "Answers to quick requests by outcome",
                            {{"outcome", std::string{core::to_string(result)}}});
}

} // namespace

quick_metrics::quick_metrics(telemetry::metrics_registry& registry)
    : completed(answer_counter(registry, core::outcome::completed)),
      failed(answer_counter(registry, core::outcome::failed)),
      not_run(answer_counter(registry, core::outcome::not_run)),
      unknown(answer_counter(registry, core::outcome::unknown)),
      shed(registry.counter("rattanmount_quick_shed_total", "Quick requests that got no slot")),
      retries(registry.counter("rattanmount_quick_retries_total", "Quick requests sent once more")),
      retries_denied(registry.counter("rattanmount_quick_retries_denied_total",
                                      "Retries of quick requests that the budget did not allow")),
      slot_wait(registry.distribution("rattanmount_quick_wait_seconds", "From a quick request to its slot")),
      overhead(registry.distribution("rattanmount_quick_added_seconds",
                                     "Time of quick requests beside that of their executors")) {}

void quick_metrics::count_answer(core::outcome result) {
    switch (result) {
    case core::outcome::completed:
        this->completed.add();
        return;
    case core::outcome::failed:
        this->failed.add();
        return;
    case core::outcome::unknown:
        this->unknown.add();
        return;
    case core::outcome::not_run:
        this->not_run.add();
        return;
    }
}

} // namespace rattanmount::app
