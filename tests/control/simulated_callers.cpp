#include "tests/control/simulated_callers.h"

#include <chrono>
#include <string>
#include <utility>

namespace rattanmount::tests {

using namespace std::chrono_literals;

core::job_spec batch_job(const std::string& key, core::milliseconds run_time, std::uint32_t tasks) {
    return {.id = {.team = core::team_id{"tabua"}, .key = core::request_key{key}},
            .pool = core::pool_id{"sheets"},
            .kind = core::work_kind::batch,
            .tasks = tasks,
            .each = {.millicores = 2000, .memory_mb = 1024},
            .payload = std::to_string(run_time.count())};
}

simulated_callers::simulated_callers(simulated_callers_hooks hooks) : hooks(std::move(hooks)) {}

void simulated_callers::record_answer(const core::job_id& job, const cell::owner_answer& answer) {
    if (answer.is_owner) {
        this->submitted[job].answers.push_back(answer.answer);
        this->submitted[job].accepted = this->submitted[job].accepted ||
                                        answer.answer.state == core::answer_state::accepted ||
                                        answer.answer.state == core::answer_state::ended;
    }
}

void simulated_callers::submit(int host, const core::job_spec& spec) {
    this->submitted[spec.id].spec = spec;
    auto* entry = this->hooks.host(host);
    if (entry == nullptr) {
        return;
    }
    const auto route = entry->route(spec.id, this->hooks.now());
    using target = control::job_route::target_type;
    if (route.target != target::local && route.target != target::peer) {
        return;
    }
    const int owner = route.target == target::local ? host : this->hooks.host_at(route.peer);
    this->hooks.on_host(owner, this->hooks.delay(), [this, spec, route](control::host_control& control) {
        control.submit(
            route.shard, spec, core::system_time{}, false, this->hooks.now(),
            [this, id = spec.id](const cell::owner_answer& answer) { this->record_answer(id, answer); });
    });
}

void simulated_callers::cancel(int host, const core::job_id& job) {
    auto* entry = this->hooks.host(host);
    if (entry == nullptr) {
        return;
    }
    const auto route = entry->route(job, this->hooks.now());
    if (route.target == control::job_route::target_type::local) {
        this->submitted[job].cancelled = true;
        this->hooks.on_host(host, this->hooks.delay(), [this, job, route](control::host_control& control) {
            control.cancel(route.shard, job, this->hooks.now(), [](const cell::owner_answer&) {});
        });
    }
}

void simulated_callers::propose(int host, const release::release_note& note,
                                std::function<void(core::note_answer)> respond) {
    this->hooks.on_host(host, 1ms,
                        [this, note, respond = std::move(respond)](control::host_control& control) {
                            control.apply_note(note, 5s, this->hooks.now(), respond);
                        });
}

std::optional<core::job_answer> simulated_callers::status(const core::job_id& job) const {
    for (int index = 0; index < this->hooks.host_count(); ++index) {
        const auto* host = this->hooks.host(index);
        if (host == nullptr) {
            continue;
        }
        const auto route = host->route(job, this->hooks.now());
        if (route.target != control::job_route::target_type::local) {
            continue;
        }
        std::optional<cell::owner_answer> answer;
        host->status(route.shard, job, this->hooks.now(),
                     [&answer](const cell::owner_answer& given) { answer = given; });
        if (answer && answer->is_owner) {
            return this->follow_move(job, *answer);
        }
    }
    return std::nullopt;
}

core::job_answer simulated_callers::follow_move(const core::job_id& job, cell::owner_answer answer) const {
    if (!answer.moved_to) {
        return answer.answer;
    }
    const auto target = *answer.moved_to;
    for (int index = 0; index < this->hooks.host_count(); ++index) {
        if (const auto* host = this->hooks.host(index)) {
            host->status(target, job, this->hooks.now(), [&answer](const cell::owner_answer& given) {
                answer = given.is_owner ? given : answer;
            });
        }
    }
    return answer.answer;
}

} // namespace rattanmount::tests
