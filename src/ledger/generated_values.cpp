#include "ledger/generated_values.h"

#include <utility>

namespace rattanmount::ledger {

core::attempt_end to_attempt_end(std::int32_t number) {
    return to_enum(number, core::attempt_end::stopped, "attempt_end");
}

core::outcome to_outcome(std::int32_t number) {
    return to_enum(number, core::outcome::unknown, "outcome");
}

core::work_kind to_work_kind(std::int32_t number) {
    return to_enum(number, core::work_kind::service, "work_kind");
}

std::int64_t milliseconds_of(core::system_time time) {
    return core::since_epoch(time).count();
}

core::system_time to_time(std::int64_t milliseconds) {
    constexpr std::int64_t last = 253'402'300'799'999; // The end of the year 9999.
    if (milliseconds < -last || milliseconds > last) {
        throw core::invalid_argument("time: " + std::to_string(milliseconds) + " ms is out of range");
    }
    return core::from_epoch(core::milliseconds{milliseconds});
}

gen::job_key to_key(const core::job_id& value) {
    gen::job_key key;
    key.team = value.team.value();
    key.key = value.key.value();
    return key;
}

core::job_id to_job_id(gen::job_key&& value) {
    return {.team = core::team_id{std::move(value.team)}, .key = core::request_key{std::move(value.key)}};
}

gen::amounts to_amounts(const core::resources& value) {
    gen::amounts amounts;
    amounts.__set_millicores(value.millicores);
    amounts.__set_memory_mb(value.memory_mb);
    if (value.accelerators != 0) {
        amounts.__set_accelerators(value.accelerators);
    }
    return amounts;
}

core::resources to_resources(const gen::amounts& value) {
    return {.millicores = value.millicores, .memory_mb = value.memory_mb, .accelerators = value.accelerators};
}

std::vector<gen::producer_data> to_generated(const producer_table& table) {
    std::vector<gen::producer_data> data;
    data.reserve(table.entries().size());
    for (const producer_table::entry& one : table.entries()) {
        data.emplace_back();
        data.back().producer = one.producer.value();
        data.back().sequence = id_number(one.last_sequence);
    }
    return data;
}

void from_generated(const std::vector<gen::producer_data>& producers, producer_table& table) {
    table.clear();
    for (const gen::producer_data& one : producers) {
        table.mark_applied(core::incarnation_id{one.producer}, to_id<core::sequence_number>(one.sequence));
    }
}

} // namespace rattanmount::ledger
