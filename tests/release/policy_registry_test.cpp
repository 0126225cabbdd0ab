#include "release/policy_book.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

using namespace rattanmount;
using release::item_change;
using release::note_item;
using release::policy_book;
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

bool accepts(policy_book& book, const std::string& id, std::vector<note_item> items) {
    return book.apply(note(id, std::move(items))).accepted;
}

/// @return whether the note is refused for a reason that holds each text, and changes nothing.
bool refuses(policy_book& book, const release_note& refused, const std::vector<std::string>& texts) {
    const policy_book before = book;
    const auto result = book.apply(refused);
    bool holds_all = !result.accepted && book == before;
    for (const std::string& text : texts) {
        INFO(result.reason);
        CHECK(result.reason.find(text) != std::string::npos);
        holds_all = holds_all && result.reason.find(text) != std::string::npos;
    }
    return holds_all;
}

const core::pool_id prints{"prints"};

} // namespace

TEST_CASE("a pool is added, changed and withdrawn, and its last policy stays") {
    policy_book book;
    CHECK(accepts(book, "n1", {pool_item(item_change::add, "prints", 0, 1)}));
    CHECK(book.revision(prints) == core::revision_id{1});
    CHECK(accepts(book, "n2", {pool_item(item_change::change, "prints", 1, 2)}));
    CHECK(book.pool(prints)->priority == 2);
    CHECK(accepts(book, "n3", {pool_item(item_change::withdraw, "prints", 2)}));
    CHECK(book.pool(prints) == nullptr);
    CHECK(book.pools().empty());
    CHECK(book.last_pool(prints)->priority == 2);
    CHECK(book.revision(prints) == core::revision_id{3});
}

TEST_CASE("a note whose base has moved is refused with the item, the revision, the note and its author") {
    policy_book book;
    CHECK(accepts(book, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(book.apply(note("n2", {pool_item(item_change::change, "prints", 1)}, "ben")).accepted);
    CHECK(refuses(book, note("n3", {pool_item(item_change::change, "prints", 1)}),
                  {"items[0]", "pool 'prints'", "revision 1", "revision 2", "note 'n2' of ben"}));
    CHECK(refuses(book, note("n4", {pool_item(item_change::withdraw, "prints", 1)}), {"revision 2"}));
    CHECK(refuses(book, note("n5", {pool_item(item_change::change, "prints", 3)}), {"revision 3"}));
}

TEST_CASE("a note is applied whole or not at all, and all items at fault are named") {
    policy_book book;
    CHECK(accepts(book, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(refuses(book,
                  note("n2", {pool_item(item_change::add, "new", 0), pool_item(item_change::add, "prints", 0),
                              team_item(item_change::change, "tabua", 1)}),
                  {"items[1]: pool 'prints' is already in force", "items[2]: team 'tabua' is not in force"}));
    CHECK(book.pool(core::pool_id{"new"}) == nullptr);
}

TEST_CASE("a withdrawn name is added anew only against the revision of its withdrawal") {
    policy_book book;
    CHECK(accepts(book, "n1", {pool_item(item_change::add, "prints", 0)}));
    CHECK(accepts(book, "n2", {pool_item(item_change::withdraw, "prints", 1)}));
    CHECK(refuses(book, note("n1", {pool_item(item_change::add, "prints", 0)}), {"revision 2", "withdrawn"}));
    CHECK(refuses(book, note("n3", {pool_item(item_change::change, "prints", 2)}), {"is not in force"}));
    CHECK(accepts(book, "n4", {pool_item(item_change::add, "prints", 2, 8)}));
    CHECK(book.revision(prints) == core::revision_id{3});
    CHECK(book.pool(prints)->priority == 8);
}

TEST_CASE("a team's region never changes, also not over a withdrawal") {
    policy_book book;
    CHECK(accepts(book, "n1", {team_item(item_change::add, "tabua", 0, "fiji")}));
    CHECK(refuses(book, note("n2", {team_item(item_change::change, "tabua", 1, "brittany")}),
                  {"region 'fiji'", "'brittany'"}));
    CHECK(accepts(book, "n3", {team_item(item_change::withdraw, "tabua", 1, "anything")}));
    CHECK(book.last_team(core::team_id{"tabua"})->region == core::region_id{"fiji"});
    CHECK(refuses(book, note("n4", {team_item(item_change::add, "tabua", 2, "brittany")}), {"region"}));
    CHECK(accepts(book, "n5", {team_item(item_change::add, "tabua", 2, "fiji")}));
    CHECK(book.team(core::team_id{"tabua"}) != nullptr);
}

TEST_CASE("a pool and a team of one name are two things, and two items on one of them are refused") {
    policy_book book;
    CHECK(accepts(book, "n1", {pool_item(item_change::add, "x", 0), team_item(item_change::add, "x", 0)}));
    CHECK(refuses(
        book, note("n2", {pool_item(item_change::change, "x", 1), pool_item(item_change::withdraw, "x", 1)}),
        {"items[1]: pool 'x' has an item before"}));
}

TEST_CASE("values out of range are refused, all at once and with their places") {
    policy_book book;
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
    CHECK(refuses(book, bad,
                  {"id:", "author:", "items[0].pool.name", "items[0].pool.priority", "items[0].pool.weight",
                   "items[0].pool.max_share", "items[0].pool.quick_limit", "items[0].pool.queue_limit",
                   "'s' is named twice", "items[0].pool.services: is missing", "items[1].replaces",
                   "items[1].team.name: is longer", "items[1].team.region", "items[1].team.quota"}));
    CHECK(refuses(book, note("n", {}), {"items: must be from 1 to 1000"}));
}

TEST_CASE("random notes change only what they name, by one revision, and refused ones nothing") {
    std::mt19937 random{5};
    policy_book book;
    std::size_t accepted = 0;
    for (int round = 0; round < 5000; ++round) {
        const std::string name(1, static_cast<char>('p' + random() % 4));
        const auto change = static_cast<item_change>(random() % 3);
        const core::pool_id id{name};
        const auto base = random() % 2 == 0 ? book.revision(id).value() : random() % 5;
        const policy_book before = book;
        const bool in_force = book.pool(id) != nullptr;
        const auto result = book.apply(note("n" + std::to_string(round), {pool_item(change, name, base)}));
        const bool fits = base == before.revision(id).value() && (change == item_change::add) != in_force;
        CHECK(result.accepted == fits);
        if (!result.accepted) {
            CHECK(book == before);
            continue;
        }
        ++accepted;
        CHECK(book.revision(id) == before.revision(id).next());
        CHECK((book.pool(id) != nullptr) == (change != item_change::withdraw));
    }
    CHECK(accepted > 500);
}
