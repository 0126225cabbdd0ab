#include "release/policy_registry.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

using namespace rattanmount;
using release::item_change;
using release::note_item;
using release::policy_registry;
using release::release_note;

namespace {

note_item pool_item(item_change change, const std::string& name, std::uint64_t replaces,
                    std::uint32_t priority = 5) {
    release::pool_policy pool;
    pool.name = core::pool_id{name};
    pool.priority = priority;
    return {.change = change, .replaces = core::revision_id{replaces}, .policy = pool};
}

note_item team_item(item_change change, const std::string& name, std::uint64_t replaces,
                    const std::string& region = "fiji") {
    release::team_policy team;
    team.name = core::team_id{name};
    team.region = core::region_id{region};
    return {.change = change, .replaces = core::revision_id{replaces}, .policy = team};
}

release_note note(const std::string& id, std::vector<note_item> items, const std::string& author = "ana") {
    return {.id = core::note_id{id}, .author = author, .items = std::move(items)};
}

bool accepts(policy_registry& registry, const std::string& id, std::vector<note_item> items) {
    return registry.apply(note(id, std::move(items))).accepted;
}

/// @return whether the note is refused with a reason that contains each text, and changes nothing.
bool refuses(policy_registry& registry, const release_note& refused, const std::vector<std::string>& texts) {
    const policy_registry before = registry;
    const auto result = registry.apply(refused);
    bool contains_all = !result.accepted && registry == before;
    for (const std::string& text : texts) {
        INFO(result.reason);
        CHECK(result.reason.find(text) != std::string::npos);
        contains_all = contains_all && result.reason.find(text) != std::string::npos;
    }
    return contains_all;
}

const core::pool_id prints{"prints"};

} // namespace

TEST_CASE("a withdrawn pool keeps its last policy and its revision") {
    policy_registry registry;
    CHECK(accepts(registry, "n1", {pool_item(item_change::add, "prints", 0, 1)}));
    CHECK(registry.revision(prints) == core::revision_id{1});
    CHECK(accepts(registry, "n2", {pool_item(item_change::change, "prints", 1, 2)}));
    CHECK(registry.pool(prints)->priority == 2);
    CHECK(accepts(registry, "n3", {pool_item(item_change::withdraw, "prints", 2)}));
    CHECK(registry.pool(prints) == nullptr);
    CHECK(registry.pools().empty());
    CHECK(registry.last_pool(prints)->priority == 2);
    CHECK(registry.revision(prints) == core::revision_id{3});
}

TEST_CASE("a note against an outdated revision is refused, naming the item, the revision, the note and its "
          "author") {
    policy_registry registry;
    CHECK(accepts(registry, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(registry.apply(note("n2", {pool_item(item_change::change, "prints", 1)}, "ben")).accepted);
    CHECK(refuses(registry, note("n3", {pool_item(item_change::change, "prints", 1)}),
                  {"items[0]", "pool 'prints'", "revision 1", "revision 2", "note 'n2' of ben"}));
    CHECK(refuses(registry, note("n4", {pool_item(item_change::withdraw, "prints", 1)}), {"revision 2"}));
    CHECK(refuses(registry, note("n5", {pool_item(item_change::change, "prints", 3)}), {"revision 3"}));
}

TEST_CASE("a note is applied atomically, and a refusal names all invalid items") {
    policy_registry registry;
    CHECK(accepts(registry, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(refuses(registry,
                  note("n2", {pool_item(item_change::add, "new", 0), pool_item(item_change::add, "prints", 0),
                              team_item(item_change::change, "tabua", 1)}),
                  {"items[1]: pool 'prints' is already in force", "items[2]: team 'tabua' is not in force"}));
    CHECK(registry.pool(core::pool_id{"new"}) == nullptr);
}

TEST_CASE("a withdrawn name can be added again only against the revision of its withdrawal") {
    policy_registry registry;
    CHECK(accepts(registry, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(accepts(registry, "n2", {pool_item(item_change::withdraw, "prints", 1)}));
    CHECK(refuses(registry, note("n1", {pool_item(item_change::add, "prints", 0)}),
                  {"revision 2", "withdrawn"}));
    CHECK(refuses(registry, note("n3", {pool_item(item_change::change, "prints", 2)}), {"is not in force"}));
    CHECK(accepts(registry, "n4", {pool_item(item_change::add, "prints", 2, 8)}));
    CHECK(registry.revision(prints) == core::revision_id{3});
    CHECK(registry.pool(prints)->priority == 8);
}

TEST_CASE("a team's region never changes, not even by withdrawing and adding it again") {
    policy_registry registry;
    CHECK(accepts(registry, "n1", {team_item(item_change::add, "tabua", 0, "fiji")}));
    CHECK(refuses(registry, note("n2", {team_item(item_change::change, "tabua", 1, "brittany")}),
                  {"region 'fiji'", "'brittany'"}));
    CHECK(accepts(registry, "n3", {team_item(item_change::withdraw, "tabua", 1, "anything")}));
    CHECK(registry.last_team(core::team_id{"tabua"})->region == core::region_id{"fiji"});
    CHECK(refuses(registry, note("n4", {team_item(item_change::add, "tabua", 2, "brittany")}), {"region"}));
    CHECK(accepts(registry, "n5", {team_item(item_change::add, "tabua", 2, "fiji")}));
    CHECK(registry.team(core::team_id{"tabua"}) != nullptr);
}

TEST_CASE("a pool and a team may share a name, but two items about the same one are refused") {
    policy_registry registry;
    CHECK(
        accepts(registry, "n1", {pool_item(item_change::add, "x", 0), team_item(item_change::add, "x", 0)}));
    CHECK(refuses(
        registry,
        note("n2", {pool_item(item_change::change, "x", 1), pool_item(item_change::withdraw, "x", 1)}),
        {"items[1]: pool 'x' has an item before"}));
}

TEST_CASE("values out of range are all reported, with their paths") {
    policy_registry registry;
    release::pool_policy pool;
    pool.name = core::pool_id{"bad name"};
    pool.priority = 1001;
    pool.weight = 0;
    pool.max_share = std::numeric_limits<double>::quiet_NaN();
    pool.quick_limit = core::milliseconds{0};
    pool.queue_limit = 0;
    pool.services = {core::service_id{"s"}, core::service_id{"s"}, core::service_id{""}};
    release::team_policy team;
    team.name = core::team_id{std::string(129, 'x')};
    team.quota.memory_mb = -1;
    const release_note bad{.items = {{.policy = pool}, {.change = item_change::change, .policy = team}}};
    CHECK(refuses(registry, bad,
                  {"id:", "author:", "items[0].pool.name", "items[0].pool.priority", "items[0].pool.weight",
                   "items[0].pool.max_share", "items[0].pool.quick_limit", "items[0].pool.queue_limit",
                   "'s' is named twice", "items[0].pool.services: is missing", "items[1].replaces",
                   "items[1].team.name: is longer", "items[1].team.region", "items[1].team.quota"}));
    CHECK(refuses(registry, note("n", {}), {"items: must be from 1 to 1000"}));
}

TEST_CASE("an accepted note advances its policy by one revision and a refused note changes nothing") {
    std::mt19937 random{5};
    policy_registry registry;
    std::size_t accepted = 0;
    for (int round = 0; round < 5000; ++round) {
        const std::string name(1, static_cast<char>('p' + random() % 4));
        const auto change = static_cast<item_change>(random() % 3);
        const core::pool_id id{name};
        const auto base = random() % 2 == 0 ? registry.revision(id).value() : random() % 5;
        const policy_registry before = registry;
        const bool in_force = registry.pool(id) != nullptr;
        const auto result =
            registry.apply(note("n" + std::to_string(round), {pool_item(change, name, base)}));
        const bool fits = base == before.revision(id).value() && (change == item_change::add) != in_force;
        CHECK(result.accepted == fits);
        if (!result.accepted) {
            CHECK(registry == before);
            continue;
        }
        ++accepted;
        CHECK(registry.revision(id) == before.revision(id).next());
        CHECK((registry.pool(id) != nullptr) == (change != item_change::withdraw));
    }
    CHECK(accepted > 500);
}
