#include "control/note_applier.h"

#include <utility>

namespace rattanmount::control {

namespace {

core::note_answer refused(std::string reason) {
    return {.verdict = core::note_verdict::refused, .reason = std::move(reason)};
}

} // namespace

note_applier::note_applier(config_replica& config, const cell::membership& members, const host_hooks& hooks)
    : config(config), members(members), hooks(hooks) {}

void note_applier::apply(const release::release_note& note, core::milliseconds limit, core::steady_time now,
                         std::function<void(core::note_answer)> respond) {
    if (!this->config.log_available()) {
        respond(refused("the platform's log is not available; the note was not recorded"));
        return;
    }
    this->config.propose(
        note, now,
        [this, note, until = now + limit, respond = std::move(respond)](ledger::record_outcome settled) {
            if (settled == ledger::record_outcome::absent) {
                respond(refused("the platform's log did not store the note"));
                return;
            }
            this->on_recorded(note, until, respond);
        });
}

void note_applier::on_recorded(const release::release_note& note, core::steady_time until,
                               const std::function<void(core::note_answer)>& respond) {
    const auto result = this->config.state().result_for(note).value_or(
        release::note_result{.reason = "the configuration did not accept the note's record"});
    if (!result.accepted) {
        this->hooks.on_change(telemetry::event_kind::note_refused,
                              {.detail = note.id.value() + ": " + result.reason});
        respond(refused(result.reason));
        return;
    }
    this->hooks.on_change(telemetry::event_kind::note_in_force, {.detail = note.id.value()});
    this->waiting_notes.push_back({.id = note.id, .until = until, .respond = respond});
}

void note_applier::answer_due(core::steady_time now) {
    std::erase_if(this->waiting_notes, [&](const waiting_note& waiting) {
        const auto missing =
            this->members.hosts_behind(this->config.state().offset_of(waiting.id).next(), now);
        if (missing.empty()) {
            waiting.respond({.verdict = core::note_verdict::accepted});
            return true;
        }
        if (now < waiting.until) {
            return false;
        }
        waiting.respond({.verdict = core::note_verdict::pending,
                         .reason = "recorded, and not yet in force on every live entry host",
                         .missing = missing});
        return true;
    });
}

} // namespace rattanmount::control
