#include "ledger/config_state_machine.h"

#include "core/errors.h"
#include "ledger/codec.h"
#include "ledger/generated_values.h"
#include "ledger/policy_conversion.h"
#include "ledger/thrift_bytes.h"

#include <utility>

namespace rattanmount::ledger {

namespace {

/// Producers whose last sequence number is kept: many entry hosts write to this stream, one after another.
constexpr std::size_t max_producers = 500;

template <typename Policy>
gen::policy_data to_generated_record(const release::policy_record<Policy>& record) {
    gen::policy_data data;
    data.revision = static_cast<std::int64_t>(record.revision.value());
    data.in_force = record.in_force;
    data.changed_by = record.changed_by.value();
    data.author = record.author;
    return data;
}

template <typename Policy>
release::policy_record<Policy> to_record(Policy policy, gen::policy_data&& data) {
    return {.last = std::move(policy),
            .revision = core::revision_id{static_cast<std::uint64_t>(data.revision)},
            .in_force = data.in_force,
            .changed_by = core::note_id{std::move(data.changed_by)},
            .author = std::move(data.author)};
}

std::vector<gen::policy_data> policies_of(const release::policy_registry& registry) {
    std::vector<gen::policy_data> policies;
    for (const auto& [name, record] : registry.pool_records()) {
        policies.push_back(to_generated_record(record));
        policies.back().__set_pool(to_generated(record.last));
    }
    for (const auto& [name, record] : registry.team_records()) {
        policies.push_back(to_generated_record(record));
        policies.back().__set_team(to_generated(record.last));
    }
    return policies;
}

void restore(release::policy_registry& registry, gen::policy_data&& data) {
    if (data.__isset.pool == data.__isset.team) {
        throw core::invalid_argument("a policy of a snapshot needs either a pool or a team");
    }
    if (data.__isset.pool) {
        auto pool = from_generated(std::move(data.pool));
        registry.restore(to_record(std::move(pool), std::move(data)));
        return;
    }
    auto team = from_generated(std::move(data.team));
    registry.restore(to_record(std::move(team), std::move(data)));
}

const snapshot_taken* only_snapshot(const record_batch& batch) {
    return batch.records.size() == 1 ? std::get_if<snapshot_taken>(&batch.records.front()) : nullptr;
}

} // namespace

config_state_machine::config_state_machine() : producers(max_producers) {}

config_state_machine::apply_result config_state_machine::apply(core::log_offset offset,
                                                               const record_batch& batch) {
    if (this->base_known && offset < this->next_offset) {
        return apply_result::duplicate;
    }
    if (!this->advance(offset, batch)) {
        return apply_result::no_base_state;
    }
    if (this->producers.is_duplicate(batch.producer, batch.sequence)) {
        return apply_result::duplicate;
    }
    if (batch.records.empty()) {
        return apply_result::applied;
    }
    const snapshot_taken* snapshot = only_snapshot(batch);
    if (snapshot != nullptr && snapshot->at != offset) {
        return apply_result::misplaced_snapshot;
    }
    for (const record& item : batch.records) {
        this->handle(offset, item);
    }
    this->producers.mark_applied(batch.producer, batch.sequence);
    return apply_result::applied;
}

bool config_state_machine::is_applied(apply_result result) {
    return result == apply_result::applied || result == apply_result::duplicate;
}

std::optional<core::shard_id> config_state_machine::shard_of(const core::rack_id& rack) const {
    const auto found = this->rack_shards.find(rack);
    return found == this->rack_shards.end() ? std::nullopt : std::optional{found->second};
}

const release::note_result* config_state_machine::find_result(const core::note_id& id) const {
    const auto found = this->notes.find(id);
    return found == this->notes.end() ? nullptr : &found->second.result;
}

core::log_offset config_state_machine::offset_of(const core::note_id& id) const {
    const auto found = this->notes.find(id);
    return found == this->notes.end() ? core::log_offset{} : found->second.offset;
}

std::optional<release::note_result>
config_state_machine::result_for(const release::release_note& note) const {
    const auto found = this->notes.find(note.id);
    if (found == this->notes.end()) {
        return std::nullopt;
    }
    if (found->second.fingerprint != fingerprint(note)) {
        return release::note_result{.accepted = false,
                                    .reason = "id: another note was already submitted as '" +
                                              note.id.value() + "'"};
    }
    return found->second.result;
}

void config_state_machine::reset() {
    this->clear();
    this->base_known = false;
    this->next_offset = core::log_offset{};
}

std::string config_state_machine::state() const {
    gen::config_state_data data;
    data.policies = policies_of(this->registry);
    for (const auto& [rack, shard] : this->rack_shards) {
        data.racks.emplace_back();
        data.racks.back().rack = rack.value();
        data.racks.back().shard = static_cast<std::int64_t>(shard.value());
    }
    for (const core::note_id& id : this->note_order) {
        const stored_note& note = this->notes.at(id);
        data.notes.emplace_back();
        data.notes.back().id = id.value();
        data.notes.back().fingerprint = static_cast<std::int64_t>(note.fingerprint);
        data.notes.back().offset = static_cast<std::int64_t>(note.offset.value());
        data.notes.back().accepted = note.result.accepted;
        if (!note.result.reason.empty()) {
            data.notes.back().__set_reason(note.result.reason);
        }
    }
    data.producers = to_generated(this->producers);
    return to_bytes(data);
}

void config_state_machine::load(const std::string& state, core::log_offset next) {
    config_state_machine loaded;
    loaded.read_state(state);
    loaded.next_offset = next;
    *this = std::move(loaded);
}

std::size_t config_state_machine::memory_bytes() const {
    // An estimate: the names of pools, teams and racks are short and are not counted. The ids of notes and
    // the reasons of refusals are counted in full.
    constexpr std::size_t node_bytes = 64;
    std::size_t sum = sizeof(*this);
    sum += this->registry.pool_records().size() * (sizeof(release::pool_record) + node_bytes);
    sum += this->registry.team_records().size() * (sizeof(release::team_record) + node_bytes);
    sum += this->rack_shards.size() * (sizeof(core::rack_id) + node_bytes);
    sum += this->producers.entries().size() * (sizeof(producer_table::entry) + node_bytes);
    for (const auto& [id, note] : this->notes) {
        sum += sizeof(note) + 2 * sizeof(id) + 2 * id.value().size() + node_bytes + note.result.reason.size();
    }
    return sum;
}

/// Advances next_offset past the entry, and loads the entry if it is the first snapshot after a gap.
/// @return whether the batch is to be applied.
bool config_state_machine::advance(core::log_offset offset, const record_batch& batch) {
    const bool follows = this->base_known && offset == this->next_offset;
    this->next_offset = offset.next();
    if (follows) {
        return true;
    }
    this->clear();
    this->base_known = offset == core::log_offset{};
    const snapshot_taken* snapshot = only_snapshot(batch);
    if (this->base_known || snapshot == nullptr || snapshot->at != offset) {
        return this->base_known;
    }
    try {
        this->load(snapshot->state, offset.next());
    } catch (const core::invalid_argument&) {
        this->base_known = false;
    }
    return this->base_known;
}

void config_state_machine::clear() {
    this->registry = release::policy_registry{};
    this->rack_shards.clear();
    this->notes.clear();
    this->note_order.clear();
    this->producers.clear();
}

void config_state_machine::read_state(const std::string& state) {
    auto data = from_bytes<gen::config_state_data>(state);
    for (gen::policy_data& policy : data.policies) {
        restore(this->registry, std::move(policy));
    }
    for (gen::rack_data& rack : data.racks) {
        this->rack_shards.emplace(core::rack_id{std::move(rack.rack)},
                                  core::shard_id{static_cast<std::uint64_t>(rack.shard)});
    }
    for (gen::note_result_data& note : data.notes) {
        this->store(core::note_id{std::move(note.id)},
                    {.result = {.accepted = note.accepted, .reason = std::move(note.reason)},
                     .offset = core::log_offset{static_cast<std::uint64_t>(note.offset)},
                     .fingerprint = static_cast<std::uint64_t>(note.fingerprint)});
    }
    from_generated(data.producers, this->producers);
}

void config_state_machine::handle(core::log_offset offset, const record& item) {
    if (const auto* assigned = std::get_if<rack_assigned>(&item)) {
        this->rack_shards.emplace(assigned->rack, assigned->shard);
        return;
    }
    if (const auto* proposed = std::get_if<note_proposed>(&item)) {
        this->handle_note(offset, proposed->note);
    }
}

void config_state_machine::handle_note(core::log_offset offset, const release::release_note& note) {
    if (this->notes.contains(note.id)) {
        return;
    }
    this->store(note.id,
                {.result = this->registry.apply(note), .offset = offset, .fingerprint = fingerprint(note)});
}

void config_state_machine::store(const core::note_id& id, stored_note note) {
    if (!this->notes.emplace(id, std::move(note)).second) {
        return;
    }
    this->note_order.push_back(id);
    if (this->note_order.size() > max_notes) {
        this->notes.erase(this->note_order.front());
        this->note_order.pop_front();
    }
}

} // namespace rattanmount::ledger
