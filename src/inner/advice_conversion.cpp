#include "core/errors.h"
#include "inner/conversion.h"
#include "inner/wire_field.h"

namespace rattanmount::inner {

gen::advice_request to_wire(const dispatch::advice_order& value) {
    gen::advice_request message;
    message.__set_job(value.step.job.value());
    message.__set_occurrence(static_cast<std::int32_t>(value.step.occurrence));
    message.__set_step(static_cast<std::int32_t>(value.step.step));
    std::vector<std::string> workers;
    for (const auto& worker : value.workers) {
        workers.push_back(worker.value());
    }
    message.__set_workers(workers);
    return message;
}

dispatch::advice_order from_wire(const gen::advice_request& message) {
    if (message.job.empty() || message.occurrence < 0 || message.step < 0) {
        throw core::invalid_argument("advice_request: job is empty, or occurrence or step is negative");
    }
    dispatch::advice_order value{.step = {.job = workflow::job_key{message.job},
                                          .occurrence = static_cast<std::uint32_t>(message.occurrence),
                                          .step = static_cast<std::uint32_t>(message.step)}};
    for (const auto& worker : message.workers) {
        value.workers.emplace_back(worker);
    }
    return value;
}

gen::advice_answer to_wire(const dispatch::advice_reply& value) {
    gen::advice_answer message;
    message.__set_answered(value.answered);
    std::vector<gen::advice_ticket> allowed;
    for (const auto& row : value.allowed) {
        gen::advice_ticket ticket;
        ticket.__set_worker(row.worker.value());
        ticket.__set_ticket(row.ticket.value());
        allowed.push_back(ticket);
    }
    message.__set_allowed(allowed);
    message.__set_lifetime_ms(value.lifetime.count());
    return message;
}

dispatch::advice_reply from_wire(const gen::advice_answer& message) {
    dispatch::advice_reply value{.answered = message.answered,
                                 .lifetime =
                                     duration_from_wire(message.lifetime_ms, "advice_answer.lifetime_ms")};
    for (const auto& ticket : message.allowed) {
        value.allowed.push_back(
            {.worker = core::worker_id{ticket.worker}, .ticket = dispatch::ticket_id{ticket.ticket}});
    }
    return value;
}

} // namespace rattanmount::inner
