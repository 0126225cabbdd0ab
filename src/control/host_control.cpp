#include "control/host_control.h"

#include "control/policy_check.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

namespace {

constexpr core::milliseconds ownership_interval{250};

} // namespace

host_control::host_control(host_control_options options, host_hooks hooks)
    : options(std::move(options)), hooks(std::move(hooks)),
      layout(this->options.regions, this->options.shards),
      members({.self = this->options.host,
               .data_centre = this->options.data_centre,
               .suspect_after = this->options.suspect_after,
               .heartbeat_interval = this->options.heartbeat_interval}),
      config(this->config_options(), this->hooks), fleet(this->config.state(), this->layout),
      resources(this->config, this->layout, this->members, this->shards),
      ownership(this->ownership_options(), this->layout, this->members, this->shards),
      quick(
          {.broker = this->options.quick,
           .may_have_lost_shards = [this](core::steady_time now) { return this->may_have_lost_shards(now); }},
          this->config, this->shards),
      notes(this->config, this->members, this->hooks) {}

config_replica_options host_control::config_options() const {
    config_replica_options result{.session = this->options.config_session,
                                  .snapshot_interval = this->options.snapshot_interval};
    result.session.producer = this->options.incarnation;
    result.session.stream = core::stream_id{this->options.stream_prefix + "-config"};
    return result;
}

shard_ownership_options host_control::ownership_options() {
    return {.host = this->options.host,
            .suspect_after = this->options.suspect_after,
            .rebalance_after = this->options.rebalance_after,
            .claim = [this](core::shard_id shard) { this->claim(shard); }};
}

void host_control::tick(core::steady_time now) {
    this->current_time = now;
    if (!this->started) {
        this->started = now;
        this->last_contact = now;
        this->config.begin(now);
    }
    if (now >= this->next_fleet) {
        this->next_fleet = now + this->options.fleet_interval;
        this->hooks.fetch_fleet();
    }
    if (now >= this->next_heartbeat) {
        this->next_heartbeat = now + this->options.heartbeat_interval;
        this->send_heartbeats(now);
    }
    this->config.send_log_requests(now);
    if (now >= this->next_ownership) {
        this->next_ownership = now + ownership_interval;
        this->check_isolation(now);
        this->decide_ownership(now);
        this->assign_racks();
        this->take_snapshot(now);
    }
    this->shards.tick(now);
    this->quick.serve(now);
    this->notes.answer_due(now);
}

void host_control::on_append(const core::stream_id& stream, core::sequence_number sequence,
                             const external::append_reply& reply, core::steady_time now) {
    this->current_time = now;
    if (reply.outcome == external::append_outcome::stored) {
        this->last_contact = now;
    }
    if (stream == this->config.stream()) {
        this->config.on_append(sequence, reply, now);
        return;
    }
    if (auto* controller = this->shards.find_stream(stream)) {
        controller->on_append(sequence, reply, now);
    }
}

void host_control::on_read(const core::stream_id& stream, core::log_offset from,
                           const external::read_reply& reply, core::steady_time now) {
    this->current_time = now;
    if (reply.available) {
        this->last_contact = now;
    }
    if (stream == this->config.stream()) {
        this->config.on_read(from, reply, now);
        return;
    }
    if (auto* controller = this->shards.find_stream(stream)) {
        controller->on_read(from, reply, now);
    }
}

void host_control::on_lease(const lease_order& order, const external::lease_reply& reply,
                            core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->shards.find(order.shard)) {
        controller->on_lease(order.worker, reply, order.sent, now);
    }
}

void host_control::on_start(const start_order& order, const external::start_reply& reply,
                            core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->shards.find(order.shard)) {
        controller->on_start(order.attempt, reply, now);
    }
}

void host_control::on_moved(const move_order& order, bool taken, core::steady_time now) {
    this->current_time = now;
    if (auto* controller = this->shards.find(order.from)) {
        controller->on_moved(order.spec.id, taken);
    }
}

void host_control::on_fleet(const external::fleet_list& list, core::steady_time now) {
    this->current_time = now;
    if (!this->fleet.update(list)) {
        return;
    }
    this->members.on_fleet_list(list.hosts);
    this->set_fleet_of_all(now);
}

void host_control::set_fleet_of_all(core::steady_time now) {
    for (const auto& [shard, controller] : this->shards.all()) {
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
        this->hooks.on_change(telemetry::event_kind::peer_joined, {.detail = view.incarnation.value()});
    }
    this->check_reported_owners(view);
    this->quick.on_view(view, now);
}

void host_control::check_reported_owners(const cell::peer_view& view) {
    for (const auto& owned : view.shards) {
        if (auto* controller = this->shards.find_owned(owned.shard)) {
            controller->on_reported_owner(owned.epoch);
        }
    }
}

void host_control::on_config_copy(const cell::config_copy& copy, core::steady_time now) {
    this->current_time = now;
    this->config.load(copy);
}

void host_control::send_heartbeats(core::steady_time now) {
    const auto view = this->view(now);
    const auto targets =
        this->ready() ? this->members.heartbeat_targets(now) : this->members.known_peers(now);
    for (const auto& peer : targets) {
        this->hooks.heartbeat(peer, view);
        if (!this->ready() && !this->config.log_available()) {
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
    this->shards.drop_all();
}

void host_control::take_snapshot(core::steady_time now) {
    if (!this->config.snapshot_due(now)) {
        return;
    }
    // The live host whose name sorts first writes the snapshot; two at once do no harm.
    const auto claimants = this->members.claimants(now);
    const auto first = std::ranges::min_element(claimants, {}, &cell::claimant::host);
    if (first != claimants.end() && first->host == this->options.host) {
        this->config.take_snapshot(now);
    }
}

void host_control::assign_racks() {
    if (!this->config.idle()) {
        return;
    }
    this->config.assign_racks(this->fleet.racks_to_assign(),
                              [this] { this->set_fleet_of_all(this->current_time); });
}

void host_control::decide_ownership(core::steady_time now) {
    if (this->ready() && !this->leaving && now - *this->started >= this->options.startup_wait) {
        this->ownership.decide(now);
    }
}

void host_control::claim(core::shard_id shard) {
    auto& controller =
        this->shards.add(shard, std::make_unique<shard_controller>(this->options_for(shard), this->hooks));
    this->set_fleet_of(shard, controller, this->current_time);
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
    if (this->shards.find_owned(shard) != nullptr) {
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

void host_control::submit(core::shard_id shard, const core::job_spec& spec, core::system_time accepted_at,
                          bool moved, core::steady_time now, owner_responder respond) {
    this->current_time = now;
    auto* controller = this->controller_or_refuse(shard, respond);
    if (controller == nullptr) {
        return;
    }
    const bool known = controller->recorded().find(spec.id) != nullptr;
    if (const auto unknown = unknown_name_error(this->config.policies(), spec.id.team, spec.pool, spec.kind);
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
    auto* controller = this->shards.find_owned(shard);
    if (controller == nullptr) {
        recorded();
        return;
    }
    controller->record_quick_outcome(job, result, reason, std::move(recorded));
}

bool host_control::may_have_lost_shards(core::steady_time now) const {
    const bool others = this->members.listed().size() > 1;
    return others && now - this->last_contact > this->options.suspect_after;
}

void host_control::reserve(const core::quick_request& request, core::milliseconds limit,
                           core::milliseconds attempt_limit, core::steady_time now, quick_responder respond) {
    this->current_time = now;
    this->quick.reserve(request, limit, attempt_limit, now, std::move(respond));
}

void host_control::on_peer_slot(core::shard_id shard, const core::service_id& service, bool refused,
                                core::steady_time now) {
    this->current_time = now;
    this->quick.on_peer_answer(shard, service, refused, now);
}

void host_control::reserve_for_peer(core::shard_id shard, const core::service_id& service,
                                    const core::incarnation_id& caller, core::milliseconds limit,
                                    core::milliseconds wait, core::steady_time now,
                                    const std::function<void(cell::slot_grant)>& respond) {
    this->current_time = now;
    this->quick.reserve_for_peer(shard, service, caller, limit, wait, now, respond);
}

void host_control::release_slot(core::shard_id shard, std::uint64_t grant, cell::slot_release how,
                                core::steady_time now) {
    this->current_time = now;
    this->quick.release(shard, grant, how, now);
}

void host_control::apply_note(const release::release_note& note, core::milliseconds limit,
                              core::steady_time now, std::function<void(core::note_answer)> respond) {
    this->current_time = now;
    this->notes.apply(note, limit, now, std::move(respond));
}

core::milliseconds host_control::longest_quick_limit() const {
    core::milliseconds longest = this->options.controller.longest_quick_limit;
    for (const auto& [name, record] : this->config.policies().pool_records()) {
        longest = std::max(longest, record.last.quick_limit);
    }
    return longest + this->options.controller.slots.release_margin;
}

void host_control::leave(core::steady_time now) {
    this->current_time = now;
    this->leaving = true;
    this->members.leave();
    for (const auto& [shard, controller] : this->shards.all()) {
        controller->release(now);
    }
    this->send_heartbeats(now);
}

bool host_control::has_left() const {
    return this->leaving && std::ranges::none_of(this->shards.all(), [](const auto& entry) {
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
                         .log_available = this->config.log_available(),
                         .clock = this->hooks.hybrid_time(),
                         .config_next = this->config.next()};
    for (const auto* controller : this->shards.owned()) {
        view.shards.push_back(controller->view(now));
    }
    view.teams = this->resources.local_usage();
    return view;
}

std::optional<std::string> host_control::never_fits(const core::job_spec& spec) const {
    const auto* team = this->config.policies().last_team(spec.id.team);
    return team == nullptr ? std::nullopt : this->fleet.never_fits(spec, team->region);
}

shard_controller_options host_control::options_for(core::shard_id shard) {
    auto result = this->options.controller;
    result.shard = shard;
    result.host = this->options.host;
    result.incarnation = this->options.incarnation;
    result.session.producer = this->options.incarnation;
    result.session.stream = this->stream_of(shard);
    result.session.first_sequence = this->shards.next_sequence(shard);
    result.runner.shard = shard;
    result.runner.lease.holder = this->options.incarnation;
    result.runner.scheduling.pool = [this](const core::pool_id& pool) {
        return this->config.policies().last_pool(pool);
    };
    result.runner.scheduling.team = [this](const core::team_id& team) {
        return this->config.policies().last_team(team);
    };
    result.runner.scheduling.remote_usage = [this, shard](const core::team_id& team) {
        const auto* own = this->shards.find_owned(shard);
        const auto all = this->resources.total_usage(team, this->current_time);
        return own == nullptr ? all : all - own->runner()->scheduler().team_allocation(team);
    };
    result.longest_quick_limit = this->longest_quick_limit();
    result.slots.on_circuit_change = [this, shard](const core::executor_id& executor, bool open) {
        this->hooks.on_change(open ? telemetry::event_kind::circuit_opened
                                   : telemetry::event_kind::circuit_closed,
                              {.shard = shard, .detail = "executor " + executor.value()});
    };
    result.can_take_over = [this, shard](const ledger::shard_owner& owner) {
        return this->ownership.can_take_over(shard, owner, this->current_time);
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
    result.shard_with_room = [this](const core::job_spec& spec) {
        return this->resources.shard_with_room(spec, this->current_time);
    };
    return result;
}

core::milliseconds host_control::quick_limit(const core::pool_id& pool) const {
    const auto* policy = this->config.policies().last_pool(pool);
    return policy == nullptr ? core::milliseconds{0} : policy->quick_limit;
}

shard_controller* host_control::controller_or_refuse(core::shard_id shard,
                                                     const owner_responder& respond) const {
    auto* controller = this->shards.find_owned(shard);
    if (controller == nullptr) {
        respond({});
    }
    return controller;
}

core::stream_id host_control::stream_of(core::shard_id shard) const {
    return core::stream_id{this->options.stream_prefix + "-shard-" + std::to_string(shard.value())};
}

} // namespace rattanmount::control
