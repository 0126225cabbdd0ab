#include "settings/settings_reader.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace rattanmount::settings;

namespace {

/// One row of a table in docs/SETTINGS.md.
struct page_row {
    std::string key;
    std::string default_value;
    std::string allowed;
    bool complete = false; ///< Whether no cell of the row is empty.
};

std::vector<std::string> cells_of(const std::string& line) {
    std::vector<std::string> cells;
    std::istringstream stream{line.substr(1)};
    for (std::string cell; std::getline(stream, cell, '|');) {
        const auto first = cell.find_first_not_of(' ');
        const auto last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return cells;
}

std::vector<page_row> rows_of_page() {
    constexpr std::size_t columns = 6;
    std::ifstream page{RATTANMOUNT_SOURCE_FOLDER "/docs/SETTINGS.md"};
    std::vector<page_row> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("| `", 0) != 0) {
            continue;
        }
        const auto cells = cells_of(line);
        REQUIRE(cells.size() == columns);
        page_row row{.key = cells[0].substr(1, cells[0].size() - 2),
                     .default_value = cells[2] == "must be given" ? "" : cells[2],
                     .allowed = cells[3],
                     .complete = true};
        for (const auto& cell : cells) {
            row.complete = row.complete && !cell.empty();
        }
        rows.push_back(row);
    }
    return rows;
}

} // namespace

TEST_CASE(
    "the documentation of the settings lists the reader's keys, defaults and ranges in the same order") {
    const auto rows = rows_of_page();
    const auto keys = setting_keys();
    REQUIRE(rows.size() == keys.size());
    for (std::size_t i = 0; i < keys.size(); ++i) {
        CAPTURE(keys[i].path);
        CHECK(rows[i].key == keys[i].path);
        CHECK(rows[i].default_value == keys[i].default_value);
        CHECK(rows[i].allowed == keys[i].allowed);
        CHECK(rows[i].complete);
    }
}
