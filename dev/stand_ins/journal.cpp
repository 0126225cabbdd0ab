#include "stand_ins/journal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rattanmount::stand_ins {

namespace {

constexpr std::array<std::string_view, 14> kind_names{"connection_opened",
                                                      "connection_closed",
                                                      "fault",
                                                      "append",
                                                      "expire",
                                                      "list",
                                                      "lease",
                                                      "start",
                                                      "end",
                                                      "action",
                                                      "refused",
                                                      "answer",
                                                      "abandoned",
                                                      "violation"};

nlohmann::json encode(const journal_entry& entry) {
    nlohmann::json json{{"n", entry.number}, {"ms", entry.at.count()}, {"kind", to_string(entry.kind)}};
    const auto add_text = [&json](const char* name, const std::string& text) {
        if (!text.empty()) {
            json[name] = text;
        }
    };
    add_text("target", entry.target);
    add_text("id", entry.id);
    add_text("holder", entry.holder);
    add_text("detail", entry.detail);
    if (entry.kind == journal_kind::append || entry.value != 0) {
        json["value"] = entry.value;
    }
    if (entry.each) {
        json["each"] = {entry.each->millicores, entry.each->memory_mb, entry.each->accelerators};
    }
    return json;
}

} // namespace

journal::journal()
    : steady_origin(std::chrono::steady_clock::now()), system_origin(std::chrono::system_clock::now()) {}

void journal::add(core::steady_time now, journal_entry entry) {
    const std::lock_guard lock{this->mutex};
    entry.number = this->recorded.size();
    entry.at = core::since_epoch(this->system_origin +
                                 std::chrono::duration_cast<core::milliseconds>(now - this->steady_origin));
    this->recorded.push_back(std::move(entry));
}

std::vector<journal_entry> journal::entries(std::uint64_t from) const {
    const std::lock_guard lock{this->mutex};
    const auto first = std::min<std::uint64_t>(from, this->recorded.size());
    return {this->recorded.begin() + static_cast<std::ptrdiff_t>(first), this->recorded.end()};
}

std::size_t journal::count(journal_kind kind, std::string_view target) const {
    const std::lock_guard lock{this->mutex};
    const auto matches = [kind, target](const journal_entry& entry) {
        return entry.kind == kind && (target.empty() || entry.target == target);
    };
    return static_cast<std::size_t>(std::count_if(this->recorded.begin(), this->recorded.end(), matches));
}

std::string journal::json(std::uint64_t from) const {
    auto encoded = nlohmann::json::array();
    auto next = from;
    for (const auto& entry : this->entries(from)) {
        encoded.push_back(encode(entry));
        next = entry.number + 1;
    }
    const nlohmann::json document{{"next", next}, {"entries", encoded}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view to_string(journal_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

} // namespace rattanmount::stand_ins
