#include "release/note_text.h"
#include "release/policy_registry.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <string>

using namespace rattanmount::release;

TEST_CASE("an empty cell accepts the example notes, one after the other") {
    policy_registry registry;
    for (const std::string name : {"note-tabua.json", "note-detaxe.json"}) {
        std::ifstream file{std::string{RATTANMOUNT_SOURCE_FOLDER} + "/examples/" + name};
        REQUIRE(file);
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        const auto result = registry.apply(parse_note(text));
        INFO(name << ": " << result.reason);
        CHECK(result.accepted);
    }
}
