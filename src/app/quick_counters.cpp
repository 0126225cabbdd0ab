#include "app/quick_counters.h"

namespace rattanmount::app {

namespace {

telemetry::counter& answers(telemetry::counters& counters, core::outcome result) {
    return counters.counter("rattanmount_quick_answers_total", "Answers to quick requests by outcome",
                            {{"outcome", std::string{core::to_string(result)}}});
}

} // namespace

quick_counters::quick_counters(telemetry::counters& counters)
    : completed(answers(counters, core::outcome::completed)),
      failed(answers(counters, core::outcome::failed)), not_run(answers(counters, core::outcome::not_run)),
      unknown(answers(counters, core::outcome::unknown)),
      shed(counters.counter("rattanmount_quick_shed_total", "Quick requests that got no slot")),
      retries(counters.counter("rattanmount_quick_retries_total", "Quick requests sent once more")),
      over_budget(counters.counter("rattanmount_quick_retries_denied_total",
                                   "Retries of quick requests that the budget did not allow")),
      waits(counters.distribution("rattanmount_quick_wait_seconds", "From a quick request to its slot")),
      added(counters.distribution("rattanmount_quick_added_seconds",
                                  "Time of quick requests beside that of their executors")) {}

void quick_counters::count(core::outcome result) {
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
