#include "app/placement_text.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace rattanmount::app {

namespace {

std::string describe(const dispatch::candidate_worker& candidate) {
    auto text = fmt::format("  {} cost {:.3f} =", candidate.worker.value(), candidate.cost);
    for (const auto& term : candidate.terms) {
        text += fmt::format(" {} {:.3f}", term.name, term.value);
    }
    return text + "\n";
}

nlohmann::json to_json(const dispatch::candidate_worker& candidate) {
    nlohmann::json terms = nlohmann::json::object();
    for (const auto& term : candidate.terms) {
        terms[term.name] = term.value;
    }
    return {{"worker", candidate.worker.value()}, {"cost", candidate.cost}, {"terms", terms}};
}

} // namespace

std::string describe(const dispatch::placement_explanation& explanation) {
    auto text =
        fmt::format("queue {}, priority {}, team {}\n", explanation.queue.value(), explanation.priority,
                    explanation.team.empty() ? "none" : explanation.team.value());
    text +=
        fmt::format("{} of {} workers fit a task of its first step{}\n", explanation.fitting_workers,
                    explanation.known_workers, explanation.needs_advice ? ", before advice is asked" : "");
    for (const auto& candidate : explanation.candidates) {
        text += describe(candidate);
    }
    for (const auto& reason : explanation.waits_for) {
        text += "waits for " + reason + "\n";
    }
    return text;
}

std::string encode_json(const dispatch::placement_explanation& explanation) {
    nlohmann::json body{{"team", explanation.team.value()},
                        {"queue", explanation.queue.value()},
                        {"priority", explanation.priority},
                        {"known_workers", explanation.known_workers},
                        {"fitting_workers", explanation.fitting_workers},
                        {"needs_advice", explanation.needs_advice},
                        {"candidates", nlohmann::json::array()},
                        {"waits_for", explanation.waits_for}};
    for (const auto& candidate : explanation.candidates) {
        body["candidates"].push_back(to_json(candidate));
    }
    return body.dump();
}

} // namespace rattanmount::app
