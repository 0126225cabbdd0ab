#include "control/host_control.h"

#include "core/names.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

namespace {

constexpr core::milliseconds ownership_interval{250};

core::stream_id config_stream(const std::string& prefix) {
    return core::stream_id{prefix + "-config"};
}

routing::slot_end slot_end_of(cell::slot_release how) {
    switch (how) {
    case cell::slot_release::done:
        return routing::slot_end::answered;
    case cell::slot_release::unsent:
        return routing::slot_end::unsent;
    case cell::slot_release::refused:
        return routing::slot_end::refused;
    case cell::slot_release::lost:
    case cell::slot_release::broken:
        return routing::slot_end::lost;
    }
    return routing::slot_end::lost;
}

} // namespace

host_control::host_control(host_control_options options, host_hooks hooks)
    : options(std::move(options)), hooks(std::move(hooks)),
      layout(this->options.regions, this->options.shards),
      members({.self = this->options.host,
               .data_centre = this->options.data_centre,
               .suspect_after = this->options.suspect_after,
               .heartbeat_interval = this->options.heartbeat_interval}),
      fleet(this->config, this->layout), config_session([this] {
          auto session = this->options.config_session;
          session.producer = this->options.incarnation;
          session.stream = config_stream(this->options.stream_prefix);
          session.apply = [this](core::log_offset offset, const ledger::record_batch& batch) {
              return ledger::config_state_machine::is_applied(this->config.apply(offset, batch));
          };
          session.reset = [this] { this->config.reset(); };
          session.state = [this] { return this->config.state(); };
          return session;
      }()),
      broker(this->broker_options()) {}

void host_control::tick(core::steady_time now) {
    this->current_time = now;
    if (!this->started) {
        this->started = now;
        this->last_contact = now;
        this->next_snapshot = now + this->options.snapshot_interval / 2;
    }
    if (now >= this->next_fleet) {
        this->next_fleet = now + this->options.fleet_interval;
        this->hooks.fetch_fleet();
    }
    if (now >= this->next_heartbeat) {
        this->next_heartbeat = now + this->options.heartbeat_interval;
        this->send_heartbeats(now);
    }
    this->send_config_requests(now);
    if (now >= this->next_ownership) {
        this->next_ownership = now + ownership_interval;
        this->check_isolation(now);
        this->decide_ownership(now);
        this->assign_racks();
        this->take_snapshot(now);
    }
    for (const auto& [shard, controller] : this->controllers) {
        controller->tick(now);
    }
    std::erase_if(this->controllers, [this](const auto& entry) {
        this->next_sequences[entry.first] = entry.second->next_sequence();
        return entry.second->phase() == shard_phase::released;
    });
    this->broker.serve(now);
    this->answer_notes(now);
}

void host_control::send_config_requests(core::steady_time now) {
    const bool available = this->config_session.log_available();
    if (!available) {
        this->config_session.cancel_queued();
    }
    if (available != this->log_was_available) {
        this->log_was_available = available;
        this->report_event(available ? telemetry::event_kind::log_up : telemetry::event_kind::log_down, "");
    }
    if (const auto append = this->config_session.next_append(now)) {
        this->hooks.append(*append);
    }
    if (const auto read = this->config_session.next_read(now)) {
        this->hooks.read(*read);
    }
}

void host_control::on_append(const core::stream_id& stream, core::sequence_number sequence,
                             const external::append_reply& reply, core::steady_time now) {
    this->current_time = now;
    if (reply.outcome == external::append_outcome::stored) {
        this->last_contact = now;
    }
    if (stream == config_stream(this->options.stream_prefix)) {
        this->config_session.on_append(sequence, reply, now);
        return;
    }
    for (const auto& [shard, controller] : this->controllers) {
        if (this->stream_of(shard) == stream) {
            controller->on_append(sequence, reply, now);
            return;
        }
    }
}

void host_control::on_read(const core::stream_id& stream, core::log_offset from,
                           const external::read_reply& reply, core::steady_time now) {
    this->current_time = now;
    if (reply.available) {
        this->last_contact = now;
    }
    if (stream == config_stream(this->options.stream_prefix)) {
        this->config_session.on_read(from, reply, now);
        this->config_read = this->config_read || this->config_session.caught_up();
        return;
    }
    for (const auto& [shard, controller] : this->controllers) {
        if (this->stream_of(shard) == stream) {
            controller->on_read(from, reply, now);
            return;
        }
    }
}

void host_control::on_lease(const lease_order& order, const external::lease_reply& reply,
                            core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->controller_of(order.shard)) {
        controller->on_lease(order.worker, reply, order.sent, now);
    }
}

void host_control::on_start(const start_order& order, const external::start_reply& reply,
                            core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->controller_of(order.shard)) {
        controller->on_start(order.attempt, reply, now);
    }
}

void host_control::on_moved(const move_order& order, bool taken, core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->controller_of(order.from)) {
        controller->on_moved(order.spec.id, taken);
    }
}

void host_control::on_fleet(const external::fleet_list& list, core::steady_time now) {
    this->current_time = now;
    if (!this->fleet.update(list)) {
        return;
    }
    this->members.on_fleet_list(list.hosts);
    for (const auto& [shard, controller] : this->controllers) {
        this->set_fleet_of(shard, *controller, now);
    }
}

void host_control::set_fleet_of(core::shard_id shard, shard_controller& controller, core::steady_time now) {
    if (this->fleet.has_list()) {
        controller.set_fleet(this->fleet.workers_of(shard), this->fleet.executors_of(shard), now);
    }
}

void host_control::on_view(const cell::peer_view& view, core::steady_time now) {
    this->current_time = now;
    if (view.host == this->options.host) {
        return;
    }
    this->last_contact = now;
    if (this->members.on_view(view, now)) {
        this->report_event(telemetry::event_kind::peer_joined, view.incarnation.value());
    }
    this->check_reported_owners(view);
    this->broker.on_view(view, now);
}

void host_control::check_reported_owners(const cell::peer_view& view) {
    for (const auto& owned : view.shards) {
        if (auto* controller = this->owned_controller(owned.shard)) {
            controller->on_reported_owner(owned.epoch);
        }
    }
}

void host_control::on_config_copy(const cell::config_copy& copy, core::steady_time now) {
    this->current_time = now;
    if (!copy.available || (this->config.has_base_state() && copy.next <= this->config_session.next())) {
        return;
    }
    this->config.load(copy.state, copy.next);
    this->config_session.skip_to(copy.next);
    this->config_read = true;
}

void host_control::send_heartbeats(core::steady_time now) {
    const auto view = this->view(now);
    const auto targets =
        this->ready() ? this->members.heartbeat_targets(now) : this->members.known_peers(now);
    for (const auto& peer : targets) {
        this->hooks.heartbeat(peer, view);
        if (!this->ready() && !this->config_session.log_available()) {
            this->hooks.copy_config(peer);
        }
    }
}

void host_control::check_isolation(core::steady_time now) {
    const bool others = this->members.listed().size() > 1;
    if (!others || now - this->last_contact < this->options.isolation_limit) {
        return;
    }
    // Neither the log nor a peer can be reached. Others may have claimed the shards, and they cannot acquire
    // the workers as long as this host renews their leases.
    for (const auto& [shard, controller] : this->controllers) {
        this->next_sequences[shard] = controller->next_sequence();
    }
    this->controllers.clear();
}

void host_control::take_snapshot(core::steady_time now) {
    if (now < this->next_snapshot || !this->ready() || !this->config_session.log_available()) {
        return;
    }
    // The live host whose name sorts first writes the snapshot; two at once do no harm.
    const auto claimants = this->members.claimants(now);
    const auto first = std::ranges::min_element(claimants, {}, &cell::claimant::host);
    if (first == claimants.end() || first->host != this->options.host) {
        return;
    }
    constexpr core::milliseconds retry{10000};
    this->next_snapshot = now + this->options.snapshot_interval;
    this->config_session.add(ledger::snapshot_taken{}, {.cancellable = true, .own_batch = true},
                             [this, again = now + retry](ledger::record_outcome settled) {
                                 if (settled != ledger::record_outcome::recorded) {
                                     this->next_snapshot = again;
                                 }
                             });
}

void host_control::assign_racks() {
    if (!this->ready() || !this->config_session.log_available() || this->config_session.pending() > 0) {
        return;
    }
    for (const auto& [rack, shard] : this->fleet.racks_to_assign()) {
        this->config_session.add(ledger::rack_assigned{.rack = rack, .shard = shard}, {.cancellable = true},
                                 [this](ledger::record_outcome) {
                                     for (const auto& [held_shard, controller] : this->controllers) {
                                         this->set_fleet_of(held_shard, *controller, this->current_time);
                                     }
                                 });
    }
}

void host_control::decide_ownership(core::steady_time now) {
    if (!this->ready() || this->leaving || now - *this->started < this->options.startup_wait) {
        return;
    }
    const auto preferred = preferred_owners(this->layout.shards(), this->members.claimants(now));
    for (const auto& [shard, owner] : preferred) {
        auto* controller = this->controller_of(shard);
        if (owner == this->options.host) {
            this->preferred_elsewhere_since.erase(shard);
            if (controller == nullptr && this->members.owner_of(shard, now) == nullptr) {
                auto& created = this->controllers[shard] =
                    std::make_unique<shard_controller>(this->options_for(shard), this->hooks);
                this->set_fleet_of(shard, *created, now);
            }
            continue;
        }
        if (controller == nullptr) {
            continue;
        }
        const auto since = this->preferred_elsewhere_since.try_emplace(shard, now).first->second;
        if (!controller->owned() || now - since >= this->options.rebalance_after) {
            controller->release(now);
        }
    }
}

std::vector<core::host_status> host_control::hosts(core::steady_time now) const {
    std::map<core::host_id, core::host_status> found;
    for (const auto& listed : this->fleet.hosts()) {
        found[listed.name] = {
            .host = listed.name, .data_centre = listed.data_centre, .leaving = listed.leaving};
    }
    auto views = this->members.live_views(now);
    const auto own = this->view(now);
    views.push_back(&own);
    for (const auto* view : views) {
        core::host_status status{.host = view->host,
                                 .address = view->front.text(),
                                 .data_centre = view->data_centre,
                                 .live = true,
                                 .leaving = view->leaving,
                                 .config_offset = view->config_next};
        for (const auto& owned : view->shards) {
            status.shards.push_back(owned.shard);
        }
        found[view->host] = std::move(status);
    }
    std::vector<core::host_status> statuses;
    statuses.reserve(found.size());
    for (auto& [name, status] : found) {
        statuses.push_back(std::move(status));
    }
    return statuses;
}

job_route host_control::route(const core::job_id& job, core::steady_time now) const {
    const auto* team = this->config.policies().last_team(job.team);
    if (team == nullptr) {
        return {.target = job_route::target_type::refused,
                .reason = "team '" + job.team.value() + "' is not known"};
    }
    const auto& shards = this->layout.shards_of(team->region);
    if (shards.empty()) {
        return {.target = job_route::target_type::refused,
                .reason = "region '" + team->region.value() + "' of the team is not in the settings"};
    }
    return this->route_to(cell::home_shard(job, shards), now);
}

job_route host_control::route_to(core::shard_id shard, core::steady_time now) const {
    if (this->owned_controller(shard) != nullptr) {
        return {.target = job_route::target_type::local, .shard = shard};
    }
    const auto* owner = this->members.owner_of(shard, now);
    if (owner == nullptr) {
        return {.target = job_route::target_type::no_owner,
                .shard = shard,
                .reason = "shard " + std::to_string(shard.value()) + " has no known owner"};
    }
    return {.target = job_route::target_type::peer, .shard = shard, .peer = owner->inner};
}

std::optional<std::string> host_control::unknown_name_error(const core::team_id& team,
                                                            const core::pool_id& pool,
                                                            core::work_kind kind) const {
    if (this->config.policies().team(team) == nullptr) {
        return "team '" + team.value() + "' is not in force";
    }
    const auto* policy = this->config.policies().pool(pool);
    if (policy == nullptr) {
        return "pool '" + pool.value() + "' is not in force";
    }
    if (policy->kind != kind) {
        return "pool '" + pool.value() + "' only accepts work of kind " +
               std::string{core::to_string(policy->kind)};
    }
    return std::nullopt;
}

void host_control::submit(core::shard_id shard, const core::job_spec& spec, core::system_time accepted_at,
                          bool moved, core::steady_time now, owner_responder respond) {
    this->current_time = now;
    auto* controller = this->controller_or_refuse(shard, respond);
    if (controller == nullptr) {
        return;
    }
    const bool known = controller->recorded().find(spec.id) != nullptr;
    if (const auto unknown = this->unknown_name_error(spec.id.team, spec.pool, spec.kind);
        unknown && !known && !moved) {
        respond({.is_owner = true,
                 .answer = {.state = core::answer_state::refused,
                            .result = core::outcome::not_run,
                            .reason = *unknown}});
        return;
    }
    controller->submit(spec, accepted_at, now, std::move(respond));
}

void host_control::status(core::shard_id shard, const core::job_id& job, core::steady_time now,
                          const owner_responder& respond) const {
    if (const auto* controller = this->controller_or_refuse(shard, respond)) {
        controller->status(job, now, respond);
    }
}

void host_control::cancel(core::shard_id shard, const core::job_id& job, core::steady_time now,
                          const owner_responder& respond) {
    this->current_time = now;
    if (auto* controller = this->controller_or_refuse(shard, respond)) {
        controller->cancel(job, now, respond);
    }
}

void host_control::explain(core::shard_id shard, const core::job_id& job, core::steady_time now,
                           const owner_responder& respond) const {
    if (const auto* controller = this->controller_or_refuse(shard, respond)) {
        controller->explain(job, now, respond);
    }
}

void host_control::record_quick_intent(core::shard_id shard, const core::job_spec& spec,
                                       core::steady_time now, const owner_responder& respond) {
    this->current_time = now;
    if (auto* controller = this->controller_or_refuse(shard, respond)) {
        controller->record_quick_intent(spec, spec.service.value(), now, respond);
    }
}

void host_control::record_quick_outcome(core::shard_id shard, const core::job_id& job, core::outcome result,
                                        const std::string& reason, std::function<void()> recorded) {
    auto* controller = this->owned_controller(shard);
    if (controller == nullptr) {
        recorded();
        return;
    }
    controller->record_quick_outcome(job, result, reason, std::move(recorded));
}

slot_broker_options host_control::broker_options() {
    auto result = this->options.quick;
    result.reserve_local = [this](const core::service_id& service, std::optional<core::shard_id> only,
                                  core::milliseconds limit, core::steady_time now) {
        return this->reserve_local(service, only, limit, now);
    };
    return result;
}

std::optional<quick_route> host_control::reserve_local(const core::service_id& service,
                                                       std::optional<core::shard_id> only,
                                                       core::milliseconds limit,
                                                       core::steady_time now) const {
    if (this->may_have_lost_shards(now)) {
        return std::nullopt;
    }
    for (const auto& [shard, controller] : this->controllers) {
        if (!controller->owned() || controller->phase() == shard_phase::releasing ||
            (only && *only != shard)) {
            continue;
        }
        if (auto slot = controller->slots().reserve(service, limit, now)) {
            return quick_route{.target = quick_route::target_type::granted,
                               .shard = shard,
                               .slot = *slot,
                               .until = now + limit};
        }
    }
    return std::nullopt;
}

bool host_control::may_have_lost_shards(core::steady_time now) const {
    const bool others = this->members.listed().size() > 1;
    return others && now - this->last_contact > this->options.suspect_after;
}

void host_control::reserve(const core::quick_request& request, core::milliseconds limit,
                           core::milliseconds attempt_limit, core::steady_time now, quick_responder respond) {
    this->current_time = now;
    if (const auto unknown =
            this->unknown_name_error(request.id.team, request.pool, core::work_kind::quick)) {
        respond({.target = quick_route::target_type::refused, .reason = *unknown});
        return;
    }
    const auto* pool = this->config.policies().pool(request.pool);
    if (std::ranges::find(pool->services, request.service) == pool->services.end()) {
        respond({.target = quick_route::target_type::refused,
                 .reason = "pool '" + request.pool.value() + "' does not call service '" +
                           request.service.value() + "'"});
        return;
    }
    this->broker.find({.request = {.pool = request.pool,
                                   .team = request.id.team,
                                   .service = request.service,
                                   .urgent = pool->urgent,
                                   .priority = pool->priority,
                                   .deadline = now + limit},
                       .attempt_limit = attempt_limit},
                      now, std::move(respond));
}

void host_control::on_peer_slot(core::shard_id shard, const core::service_id& service, bool refused,
                                core::steady_time now) {
    this->current_time = now;
    this->broker.on_peer_answer(shard, service, refused, now);
}

void host_control::reserve_for_peer(core::shard_id shard, const core::service_id& service,
                                    const core::incarnation_id& caller, core::milliseconds limit,
                                    core::milliseconds wait, core::steady_time now,
                                    const std::function<void(cell::slot_grant)>& respond) {
    this->current_time = now;
    if (this->owned_controller(shard) == nullptr) {
        respond({.reason = "not the owner of the shard"});
        return;
    }
    // The peer does not name the pool, so its request gets the highest priority of the pools that call the
    // service.
    routing::waiting_request request{.shard = shard,
                                     .pool = core::pool_id{"peers"},
                                     .team = core::team_id{caller.value()},
                                     .service = service,
                                     .deadline = now + wait};
    for (const auto& pool : this->config.policies().pools()) {
        if (std::ranges::find(pool.services, service) != pool.services.end()) {
            request.urgent = request.urgent || pool.urgent;
            request.priority = std::max(request.priority, pool.priority);
        }
    }
    this->broker.find({.request = request, .attempt_limit = limit}, now, [respond](const quick_route& route) {
        if (route.target != quick_route::target_type::granted) {
            respond({.reason = route.reason});
            return;
        }
        respond({.granted = true,
                 .grant = route.slot.grant,
                 .executor = route.slot.executor,
                 .address = route.slot.address});
    });
}

void host_control::release_slot(core::shard_id shard, std::uint64_t grant, cell::slot_release how,
                                core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->owned_controller(shard)) {
        controller->slots().release(grant, slot_end_of(how), now);
        this->broker.serve(now);
    }
}

core::milliseconds host_control::longest_quick_limit() const {
    core::milliseconds longest = this->options.controller.longest_quick_limit;
    for (const auto& [name, record] : this->config.policies().pool_records()) {
        longest = std::max(longest, record.last.quick_limit);
    }
    return longest + this->options.controller.slots.release_margin;
}

void host_control::apply_note(const release::release_note& note, core::milliseconds limit,
                              core::steady_time now, std::function<void(core::note_answer)> respond) {
    this->current_time = now;
    if (!this->config_session.log_available()) {
        respond({.verdict = core::note_verdict::refused,
                 .reason = "the platform's log is not available; the note was not recorded"});
        return;
    }
    this->config_session.add(
        ledger::note_proposed{.note = note, .at = this->hooks.wall_time()}, {.cancellable = true},
        [this, note, until = now + limit, respond = std::move(respond)](ledger::record_outcome settled) {
            if (settled == ledger::record_outcome::absent) {
                respond({.verdict = core::note_verdict::refused,
                         .reason = "the platform's log did not store the note"});
                return;
            }
            const auto result = this->config.result_for(note).value_or(
                release::note_result{.reason = "the configuration did not accept the note's record"});
            if (!result.accepted) {
                this->report_event(telemetry::event_kind::note_refused,
                                   note.id.value() + ": " + result.reason);
                respond({.verdict = core::note_verdict::refused, .reason = result.reason});
                return;
            }
            this->report_event(telemetry::event_kind::note_in_force, note.id.value());
            this->notes.push_back({.id = note.id, .until = until, .respond = respond});
        });
    this->send_config_requests(now);
}

void host_control::answer_notes(core::steady_time now) {
    std::erase_if(this->notes, [&](const waiting_note& waiting) {
        const auto missing = this->members.hosts_behind(this->config.offset_of(waiting.id).next(), now);
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

void host_control::leave(core::steady_time now) {
    this->current_time = now;
    this->leaving = true;
    this->members.leave();
    for (const auto& [shard, controller] : this->controllers) {
        controller->release(now);
    }
    this->send_heartbeats(now);
}

bool host_control::has_left() const {
    return this->leaving && std::ranges::none_of(this->controllers, [](const auto& entry) {
               return entry.second->phase() != shard_phase::released;
           });
}

cell::peer_view host_control::view(core::steady_time now) const {
    cell::peer_view view{.host = this->options.host,
                         .incarnation = this->options.incarnation,
                         .inner = this->options.inner,
                         .front = this->options.front,
                         .data_centre = this->options.data_centre,
                         .leaving = this->leaving,
                         .log_available = this->config_session.log_available(),
                         .clock = this->hooks.hybrid_time(),
                         .config_next = this->config_session.next()};
    std::map<core::team_id, core::resources> held;
    for (const auto& [shard, controller] : this->controllers) {
        if (!controller->owned()) {
            continue;
        }
        view.shards.push_back(controller->view(now));
        for (const auto& team : controller->runner()->scheduler().teams_with_allocations()) {
            held[team] += controller->runner()->scheduler().team_allocation(team);
        }
    }
    for (const auto& [team, amount] : held) {
        if (amount != core::resources{}) {
            view.teams.push_back({.team = team, .held = amount});
        }
    }
    return view;
}

core::resources host_control::remote_usage(const core::team_id& team) const {
    core::resources held;
    for (const auto* view : this->members.live_views(this->current_time)) {
        for (const auto& usage : view->teams) {
            if (usage.team == team) {
                held += usage.held;
            }
        }
    }
    for (const auto& [shard, controller] : this->controllers) {
        if (controller->owned()) {
            held += controller->runner()->scheduler().team_allocation(team);
        }
    }
    return held;
}

std::optional<std::string> host_control::never_fits(const core::job_spec& spec) const {
    const auto* team = this->config.policies().last_team(spec.id.team);
    return team == nullptr ? std::nullopt : this->fleet.never_fits(spec, team->region);
}

std::optional<core::shard_id> host_control::shard_with_room(const core::job_spec& spec) const {
    const auto* team = this->config.policies().last_team(spec.id.team);
    if (team == nullptr) {
        return std::nullopt;
    }
    const auto& shards = this->layout.shards_of(team->region);
    const auto needed = spec.kind == core::work_kind::gang ? spec.each * spec.tasks : spec.each;
    std::optional<core::shard_id> best;
    std::int64_t most_free = -1;
    const auto consider = [&](const cell::shard_view& view) {
        const bool usable = view.serving && view.waiting_tasks == 0 && spec.each.fits_in(view.largest_free) &&
                            needed.fits_in(view.free) &&
                            std::ranges::find(shards, view.shard) != shards.end();
        if (usable && view.free.millicores > most_free) {
            most_free = view.free.millicores;
            best = view.shard;
        }
    };
    for (const auto* peer : this->members.live_views(this->current_time)) {
        std::ranges::for_each(peer->shards, consider);
    }
    for (const auto& [shard, controller] : this->controllers) {
        if (controller->owned()) {
            consider(controller->view(this->current_time));
        }
    }
    return best;
}

shard_controller_options host_control::options_for(core::shard_id shard) {
    auto result = this->options.controller;
    result.shard = shard;
    result.host = this->options.host;
    result.incarnation = this->options.incarnation;
    result.session.producer = this->options.incarnation;
    result.session.stream = this->stream_of(shard);
    if (const auto next = this->next_sequences.find(shard); next != this->next_sequences.end()) {
        result.session.first_sequence = next->second;
    }
    result.runner.shard = shard;
    result.runner.lease.holder = this->options.incarnation;
    result.runner.scheduling.pool = [this](const core::pool_id& pool) {
        return this->config.policies().last_pool(pool);
    };
    result.runner.scheduling.team = [this](const core::team_id& team) {
        return this->config.policies().last_team(team);
    };
    result.runner.scheduling.remote_usage = [this, shard](const core::team_id& team) {
        const auto* own = this->owned_controller(shard);
        const auto all = this->remote_usage(team);
        return own == nullptr ? all : all - own->runner()->scheduler().team_allocation(team);
    };
    result.longest_quick_limit = this->longest_quick_limit();
    result.slots.on_circuit_change = [this, shard](const core::executor_id& executor, bool open) {
        this->hooks.on_change(open ? telemetry::event_kind::circuit_opened
                                   : telemetry::event_kind::circuit_closed,
                              {.shard = shard, .detail = "executor " + executor.value()});
    };
    result.can_take_over = [this, shard](const ledger::shard_owner& owner) {
        return this->can_take_over(shard, owner);
    };
    result.never_fits = [this](const core::job_spec& spec) { return this->never_fits(spec); };
    result.home_shard_of = [this](const core::job_id& job) {
        return this->route(job, this->current_time).shard;
    };
    result.owner_of = [this](core::shard_id other) -> std::optional<core::endpoint> {
        const auto route = this->route_to(other, this->current_time);
        if (route.target == job_route::target_type::local) {
            return this->options.inner;
        }
        return route.target == job_route::target_type::peer ? std::optional{route.peer} : std::nullopt;
    };
    result.shard_with_room = [this](const core::job_spec& spec) { return this->shard_with_room(spec); };
    return result;
}

bool host_control::can_take_over(core::shard_id shard, const ledger::shard_owner& owner) {
    const auto* view = this->members.live_view(owner.host, this->current_time);
    const bool lists_it =
        view != nullptr && view->incarnation == owner.incarnation &&
        std::ranges::any_of(view->shards, [&](const auto& owned) { return owned.shard == shard; });
    if (lists_it) {
        this->unlisted_since.erase(shard);
        return false;
    }
    if (view == nullptr || view->incarnation != owner.incarnation) {
        return true;
    }
    // A live owner that does not list the shard has given it up without a record, or has not yet learned that
    // its claim succeeded.
    const auto since = this->unlisted_since.try_emplace(shard, this->current_time).first->second;
    if (this->current_time - since < this->options.suspect_after) {
        return false;
    }
    this->unlisted_since.erase(shard);
    return true;
}

cell::config_copy host_control::copy_config() const {
    if (!this->ready()) {
        return {};
    }
    return {.available = true, .next = this->config_session.next(), .state = this->config.state()};
}

core::milliseconds host_control::quick_limit(const core::pool_id& pool) const {
    const auto* policy = this->config.policies().last_pool(pool);
    return policy == nullptr ? core::milliseconds{0} : policy->quick_limit;
}

std::size_t host_control::owned_shards() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->controllers, [](const auto& entry) { return entry.second->owned(); }));
}

shard_controller* host_control::controller_of(core::shard_id shard) const {
    const auto found = this->controllers.find(shard);
    return found == this->controllers.end() ? nullptr : found->second.get();
}

shard_controller* host_control::owned_controller(core::shard_id shard) const {
    auto* controller = this->controller_of(shard);
    return controller != nullptr && controller->owned() ? controller : nullptr;
}

shard_controller* host_control::controller_or_refuse(core::shard_id shard,
                                                     const owner_responder& respond) const {
    auto* controller = this->owned_controller(shard);
    if (controller == nullptr) {
        respond({});
    }
    return controller;
}

core::stream_id host_control::stream_of(core::shard_id shard) const {
    return core::stream_id{this->options.stream_prefix + "-shard-" + std::to_string(shard.value())};
}

void host_control::report_event(telemetry::event_kind kind, const std::string& detail) const {
    this->hooks.on_change(kind, {.detail = detail});
}

} // namespace rattanmount::control
