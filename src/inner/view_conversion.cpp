#include "inner/conversion.h"
#include "inner/wire_field.h"

namespace rattanmount::inner {

namespace {

gen::service_room service_room_to_wire(const cell::service_room& value) {
    gen::service_room message;
    message.__set_service_name(value.service.value());
    message.__set_free_slots(count_to_wire(value.free_slots));
    return message;
}

cell::service_room service_room_from_wire(const gen::service_room& message) {
    require(message.__isset.service_name, "service_room.service_name");
    require(message.__isset.free_slots, "service_room.free_slots");
    return {.service = core::service_id{message.service_name},
            .free_slots = count_from_wire(message.free_slots, "service_room.free_slots")};
}

gen::shard_view shard_view_to_wire(const cell::shard_view& value) {
    gen::shard_view message;
    message.__set_shard(to_wire(value.shard));
    message.__set_epoch(to_wire(value.epoch));
    message.__set_serving(value.serving);
    message.__set_waiting_tasks(count_to_wire(value.waiting_tasks));
    message.__set_free(to_wire(value.free));
    message.__set_largest_free(to_wire(value.largest_free));
    message.__set_services(convert_list(value.services, service_room_to_wire));
    return message;
}

cell::shard_view shard_view_from_wire(const gen::shard_view& message) {
    require(message.__isset.shard, "shard_view.shard");
    require(message.__isset.epoch, "shard_view.epoch");
    require(message.__isset.serving, "shard_view.serving");
    require(message.__isset.waiting_tasks, "shard_view.waiting_tasks");
    require(message.__isset.free, "shard_view.free");
    require(message.__isset.largest_free, "shard_view.largest_free");
    require(message.__isset.services, "shard_view.services");
    return {.shard = id_from_wire<core::shard_id>(message.shard, "shard_view.shard"),
            .epoch = id_from_wire<core::epoch_id>(message.epoch, "shard_view.epoch"),
            .serving = message.serving,
            .waiting_tasks = count_from_wire(message.waiting_tasks, "shard_view.waiting_tasks"),
            .free = from_wire(message.free),
            .largest_free = from_wire(message.largest_free),
            .services = convert_list(message.services, service_room_from_wire)};
}

gen::team_usage team_usage_to_wire(const cell::team_usage& value) {
    gen::team_usage message;
    message.__set_team(value.team.value());
    message.__set_held(to_wire(value.held));
    return message;
}

cell::team_usage team_usage_from_wire(const gen::team_usage& message) {
    require(message.__isset.team, "team_usage.team");
    require(message.__isset.held, "team_usage.held");
    return {.team = core::team_id{message.team}, .held = from_wire(message.held)};
}

} // namespace

gen::peer_view to_wire(const cell::peer_view& value) {
    gen::peer_view message;
    message.__set_host(value.host.value());
    message.__set_incarnation(value.incarnation.value());
    message.__set_inner(to_wire(value.inner));
    message.__set_data_centre(value.data_centre.value());
    message.__set_leaving(value.leaving);
    message.__set_log_available(value.log_available);
    message.__set_front(to_wire(value.front));
    message.__set_clock(static_cast<std::int64_t>(value.clock));
    message.__set_config_next(to_wire(value.config_next));
    message.__set_shards(convert_list(value.shards, shard_view_to_wire));
    message.__set_teams(convert_list(value.teams, team_usage_to_wire));
    return message;
}

cell::peer_view from_wire(const gen::peer_view& message) {
    require(message.__isset.host, "peer_view.host");
    require(message.__isset.incarnation, "peer_view.incarnation");
    require(message.__isset.inner, "peer_view.inner");
    require(message.__isset.data_centre, "peer_view.data_centre");
    require(message.__isset.leaving, "peer_view.leaving");
    require(message.__isset.log_available, "peer_view.log_available");
    require(message.__isset.clock, "peer_view.clock");
    require(message.__isset.front, "peer_view.front");
    require(message.__isset.config_next, "peer_view.config_next");
    require(message.__isset.shards, "peer_view.shards");
    require(message.__isset.teams, "peer_view.teams");
    return {.host = core::host_id{message.host},
            .incarnation = core::incarnation_id{message.incarnation},
            .inner = from_wire(message.inner),
            .front = from_wire(message.front),
            .data_centre = core::data_centre_id{message.data_centre},
            .leaving = message.leaving,
            .log_available = message.log_available,
            .clock = static_cast<std::uint64_t>(message.clock),
            .config_next = id_from_wire<core::log_offset>(message.config_next, "peer_view.config_next"),
            .shards = convert_list(message.shards, shard_view_from_wire),
            .teams = convert_list(message.teams, team_usage_from_wire)};
}

} // namespace rattanmount::inner
