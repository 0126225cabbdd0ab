#include "inner/conversion.h"
#include "inner/wire_field.h"

namespace rattanmount::inner {

namespace {

gen::cost_term to_wire(const dispatch::cost_term& value) {
    gen::cost_term message;
    message.__set_name(value.name);
    message.__set_value(value.value);
    return message;
}

gen::candidate_worker to_wire(const dispatch::candidate_worker& value) {
    gen::candidate_worker message;
    message.__set_worker(value.worker.value());
    message.__set_cost(value.cost);
    message.__set_terms(
        convert_list(value.terms, [](const dispatch::cost_term& term) { return to_wire(term); }));
    return message;
}

dispatch::candidate_worker from_wire(const gen::candidate_worker& message) {
    return {.worker = core::worker_id{message.worker},
            .cost = message.cost,
            .terms = convert_list(message.terms, [](const gen::cost_term& term) {
                return dispatch::cost_term{.name = term.name, .value = term.value};
            })};
}

} // namespace

gen::submission to_wire(const cell::submission& value) {
    gen::submission message;
    message.__set_host_name(value.host_name);
    message.__set_path(value.path);
    if (value.key) {
        message.__set_key(*value.key);
    }
    message.__set_body(value.body);
    return message;
}

cell::submission from_wire(const gen::submission& message) {
    return {.host_name = message.host_name,
            .path = message.path,
            .key = message.__isset.key ? std::optional{message.key} : std::nullopt,
            .body = message.body};
}

gen::placement_explanation to_wire(const dispatch::placement_explanation& value) {
    gen::placement_explanation message;
    message.__set_team(value.team.value());
    message.__set_queue(value.queue.value());
    message.__set_priority(count_to_wire(value.priority));
    message.__set_known_workers(count_to_wire(value.known_workers));
    message.__set_fitting_workers(count_to_wire(value.fitting_workers));
    message.__set_needs_advice(value.needs_advice);
    message.__set_candidates(
        convert_list(value.candidates, [](const dispatch::candidate_worker& one) { return to_wire(one); }));
    message.__set_waits_for(value.waits_for);
    return message;
}

dispatch::placement_explanation from_wire(const gen::placement_explanation& message) {
    return {
        .team = core::team_id{message.team},
        .queue = workflow::queue_id{message.queue},
        .priority = count_from_wire(message.priority, "placement_explanation.priority"),
        .known_workers = count_from_wire(message.known_workers, "placement_explanation.known_workers"),
        .fitting_workers = count_from_wire(message.fitting_workers, "placement_explanation.fitting_workers"),
        .needs_advice = message.needs_advice,
        .candidates =
            convert_list(message.candidates, [](const gen::candidate_worker& one) { return from_wire(one); }),
        .waits_for = message.waits_for};
}

} // namespace rattanmount::inner
