#include "core/names.h"

#include "core/errors.h"

#include <array>
#include <string>
#include <utility>

namespace rattanmount::core {

namespace {

template <typename Value, std::size_t Count>
using name_table = std::array<std::pair<Value, std::string_view>, Count>;

constexpr name_table<outcome, 4> outcome_names{{{outcome::completed, "completed"},
                                                {outcome::failed, "failed"},
                                                {outcome::not_run, "not_run"},
                                                {outcome::unknown, "unknown"}}};
constexpr name_table<work_kind, 4> kind_names{{{work_kind::quick, "quick"},
                                               {work_kind::batch, "batch"},
                                               {work_kind::gang, "gang"},
                                               {work_kind::service, "service"}}};
constexpr name_table<attempt_end, 5> end_names{{{attempt_end::finished, "finished"},
                                                {attempt_end::failed, "failed"},
                                                {attempt_end::refused, "refused"},
                                                {attempt_end::lost, "lost"},
                                                {attempt_end::stopped, "stopped"}}};
constexpr name_table<task_phase, 3> phase_names{
    {{task_phase::waiting, "waiting"}, {task_phase::started, "started"}, {task_phase::ended, "ended"}}};

template <typename Table, typename Value>
std::string_view name_of(const Table& table, Value value) {
    for (const auto& [known, name] : table) {
        if (known == value) {
            return name;
        }
    }
    return "?";
}

template <typename Table>
auto value_of(const Table& table, std::string_view text, const char* type_name) {
    for (const auto& [known, name] : table) {
        if (name == text) {
            return known;
        }
    }
    throw invalid_argument("not " + std::string{type_name} + ": '" + std::string{text} + "'");
}

} // namespace

std::string_view to_string(outcome value) {
    return name_of(outcome_names, value);
}
outcome parse_outcome(std::string_view text) {
    return value_of(outcome_names, text, "an outcome");
}
std::string_view to_string(work_kind kind) {
    return name_of(kind_names, kind);
}
work_kind parse_work_kind(std::string_view text) {
    return value_of(kind_names, text, "a kind of work");
}
std::string_view to_string(attempt_end end) {
    return name_of(end_names, end);
}
attempt_end parse_attempt_end(std::string_view text) {
    return value_of(end_names, text, "an attempt end");
}
std::string_view to_string(task_phase phase) {
    return name_of(phase_names, phase);
}

} // namespace rattanmount::core
