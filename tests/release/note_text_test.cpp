#include "core/errors.h"
#include "release/note_text.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rattanmount;
using release::item_change;
using release::parse_note;

namespace {

/// @return the error of parse_note(); empty if the note is accepted.
std::string refusal(const std::string& json) {
    try {
        static_cast<void>(parse_note(json));
        return "";
    } catch (const core::invalid_argument& failure) {
        return failure.what();
    }
}

void check_contains(const std::string& text, const std::vector<std::string>& parts) {
    for (const std::string& part : parts) {
        INFO(text);
        CHECK(text.find(part) != std::string::npos);
    }
}

std::string note_with(const std::string& items) {
    return R"({"id": "n1", "author": "ana", "items": [)" + items + "]}";
}

} // namespace

TEST_CASE("parse_note reads every field of a note with comments") {
    const auto note = parse_note(R"({
        // Faster previews for the market.
        "id": "n7", "author": "ana",
        "items": [
            {"change": "add", "pool": {"name": "previews", "kind": "quick", "priority": 900, "urgent": true,
             "preemptible": true, "spread": true, "weight": 3, "max_share": 0.25, "quick_limit": "1500ms",
             "queue_limit": 50, "services": ["render", "proof"]}},
            {"change": "change", "replaces": 3, "team": {"name": "tabua", "region": "fiji", "weight": 2,
             "quota": {"millicores": 64000, "memory_mb": 262144, "accelerators": 1}}},
            /* Nobody uses it. */
            {"change": "withdraw", "replaces": 1, "pool": {"name": "old"}}
        ]})");
    CHECK(note.id == core::note_id{"n7"});
    REQUIRE(note.items.size() == 3);
    const auto& pool = std::get<release::pool_policy>(note.items[0].policy);
    CHECK(pool.kind == core::work_kind::quick);
    CHECK(pool.priority == 900);
    CHECK((pool.urgent && pool.preemptible && pool.spread));
    CHECK(pool.weight == 3);
    CHECK(pool.max_share == 0.25);
    CHECK(pool.quick_limit == core::milliseconds{1500});
    CHECK(pool.queue_limit == 50);
    CHECK(pool.services == std::vector{core::service_id{"render"}, core::service_id{"proof"}});
    const auto& team = std::get<release::team_policy>(note.items[1].policy);
    CHECK(note.items[1].replaces == core::revision_id{3});
    CHECK(team.quota == core::resources{.millicores = 64000, .memory_mb = 262144, .accelerators = 1});
    CHECK(note.items[2].change == item_change::withdraw);
}

TEST_CASE("omitted keys take their defaults") {
    const auto note = parse_note(note_with(R"({"change": "add", "pool": {"name": "p"}})"));
    release::pool_policy expected;
    expected.name = core::pool_id{"p"};
    CHECK(std::get<release::pool_policy>(note.items[0].policy) == expected);
}

TEST_CASE("all errors of a note are reported with their paths") {
    const std::string reason = refusal(R"({"id": 7, "author": "ana", "autor": "x", "items": [
        {"change": "replace", "pool": {"name": "p", "kind": "huge", "priority": -1, "weight": 1.5,
         "urgent": "yes", "max_share": "half", "quick_limit": "2 weeks", "services": ["s", 4],
         "colour": "red"}},
        {"change": "add", "team": {"name": "t", "region": "r", "quota": {"millicores": "all"}}},
        {"change": "add"},
        {"change": "add", "pool": {"name": "p"}, "team": {"name": "t"}},
        5,
        {"change": "add", "pool": ["p"]}]})");
    check_contains(reason,
                   {"id: must be a string", "autor: unknown key", "items[0].change", "items[0].pool.kind",
                    "items[0].pool.priority", "items[0].pool.weight", "items[0].pool.urgent",
                    "items[0].pool.max_share", "items[0].pool.quick_limit", "items[0].pool.services",
                    "items[0].pool.colour: unknown key", "items[1].team.quota.millicores",
                    "items[2]: needs either a pool or a team", "items[3]: needs either a pool or a team",
                    "items[4]: must be an object", "items[5].pool: must be an object"});
}

TEST_CASE("values out of range are reported with their paths") {
    check_contains(
        refusal(note_with(R"({"change": "add", "pool": {"name": "p", "priority": 1001}},
                                     {"change": "add", "pool": {"name": "p", "max_share": 1.5}})")),
        {"items[0].pool.priority", "items[1].pool.max_share", "items[1]: pool 'p' has an item before"});
    check_contains(refusal(note_with(R"({"change": "add", "pool": {"name": "p", "weight": 4294967297}})")),
                   {"items[0].pool.weight"});
}

TEST_CASE("duplicate keys are reported with their paths") {
    check_contains(refusal(R"({"id": "a", "id": "b", "author": "ana", "items": [
        {"change": "add", "team": {"name": "t", "region": "r"}},
        {"change": "add", "pool": {"name": "p", "weight": 1, "services": ["s"], "weight": 2}}]})"),
                   {"id: duplicate key", "items[1].pool.weight: duplicate key"});
    CHECK(refusal(note_with(R"({"change": "add", "team": {"name": "t", "region": "r"}},
                               {"change": "add", "pool": {"name": "t"}})"))
              .empty());
}

TEST_CASE("text that is not a JSON object is refused") {
    for (const char* text : {"", "{", "[]", "7", "null", "{} {}", R"({"id": "a",})", "\xff\xfe"}) {
        INFO(text);
        CHECK_FALSE(refusal(text).empty());
    }
}

TEST_CASE("the items printed by format_policies can be submitted again as a note") {
    release::policy_registry registry;
    const auto apply = [&](const std::string& id, const std::string& items) {
        return registry.apply(
            parse_note(R"({"id": ")" + id + R"(", "author": "ana", "items": [)" + items + "]}"));
    };
    REQUIRE(apply("n1", R"({"change": "add", "pool": {"name": "p", "max_share": 0.3, "quick_limit": "3s"}},
                           {"change": "add", "pool": {"name": "gone"}},
                           {"change": "add", "team": {"name": "t", "region": "r", "quota": {"memory_mb": 9}}})")
                .accepted);
    REQUIRE(apply("n2", R"({"change": "withdraw", "replaces": 1, "pool": {"name": "gone"}})").accepted);
    const auto written = nlohmann::json::parse(release::format_policies(registry));
    REQUIRE(written.at("in_force").size() == 2);
    REQUIRE(written.at("withdrawn").size() == 1);
    CHECK(written["withdrawn"][0]["item"]["replaces"] == 2);
    CHECK(written["withdrawn"][0]["changed_by"] == "n2");

    nlohmann::json items = nlohmann::json::array();
    for (const char* list : {"in_force", "withdrawn"}) {
        for (const auto& element : written.at(list)) {
            items.push_back(element.at("item"));
        }
    }
    const release::policy_registry before = registry;
    const nlohmann::json note = {{"id", "n3"}, {"author", "ben"}, {"items", items}};
    REQUIRE(registry.apply(parse_note(note.dump())).accepted);
    CHECK(*registry.pool(core::pool_id{"p"}) == *before.pool(core::pool_id{"p"}));
    CHECK(*registry.team(core::team_id{"t"}) == *before.team(core::team_id{"t"}));
    CHECK(registry.pool(core::pool_id{"gone"}) != nullptr);
}
