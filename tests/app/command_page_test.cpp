#include "app/command_line.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace rattanmount;
using namespace rattanmount::app;

namespace {

std::string help_of(const std::string& command) {
    std::string text;
    auto hooks = make_process_hooks({}, {});
    hooks.print = [&](std::string_view part) { text += part; };
    const char* const argv[] = {"rattanmount", command.c_str(), "--help"};
    static_cast<void>(run_command(3, argv, hooks));
    return text;
}

std::string read_page() {
    std::ifstream file{RATTANMOUNT_SOURCE_FOLDER "/docs/CLI.md"};
    return {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

/// @return the text of the page from a heading to the next one, or "" if there is no such heading.
std::string section_of(const std::string& page, const std::string& heading) {
    const auto start = page.find("\n## " + heading + "\n");
    return start == std::string::npos ? "" : page.substr(start, page.find("\n## ", start + 1) - start);
}

std::set<std::string> matches(const std::string& text, const std::string& pattern) {
    const std::regex expression{pattern};
    std::set<std::string> found;
    for (std::sregex_iterator each{text.begin(), text.end(), expression}; each != std::sregex_iterator{};
         ++each) {
        found.insert((*each)[1]);
    }
    return found;
}

} // namespace

TEST_CASE("docs/CLI.md documents every command and every option in the help texts") {
    const auto page = read_page();
    std::string all;
    const char* const argv[] = {"rattanmount", "--help"};
    auto hooks = make_process_hooks({}, {});
    hooks.print = [&](std::string_view part) { all += part; };
    REQUIRE(run_command(2, argv, hooks) == 0);
    const auto commands = matches(all, "\n  ([a-z-]+)  ");
    CHECK(commands.size() == 14);
    const auto common = section_of(page, "Options of all commands that call a cell");
    for (const auto& command : commands) {
        const auto section = section_of(page, command);
        CAPTURE(command);
        CHECK_FALSE(section.empty());
        for (const auto& option : matches(help_of(command), "\n +(?:-h, )?(--[a-z-]+)")) {
            CAPTURE(option);
            CHECK((section + common).find("`" + option) != std::string::npos);
        }
    }
}
