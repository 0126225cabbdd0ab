#include "settings/document.h"

#include "settings/document_builder.h"

#include <algorithm>

namespace rattanmount::settings {

namespace {

/// @return the place of the last byte that was read, for example "line 3, column 7".
std::string place_of(const std::string& text, std::size_t bytes_read) {
    const auto last = std::min(bytes_read == 0 ? 0 : bytes_read - 1, text.size());
    const auto before = text.substr(0, last);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto line_start = before.rfind('\n');
    const auto column = line_start == std::string::npos ? last + 1 : last - line_start;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/// Returns the REASON part of a parser message, which has one of two forms:
/// "[json.exception.parse_error.101] parse error at line 1, column 2: REASON" and
/// "[json.exception.out_of_range.406] REASON".
std::string without_prefix(const std::string& text) {
    const bool has_place = text.find("parse error at ") != std::string::npos;
    const std::string delimiter = has_place ? ": " : "] ";
    const auto start = text.find(delimiter);
    return start == std::string::npos ? text : text.substr(start + delimiter.size());
}

} // namespace

document parse_document(const std::string& text) {
    document_builder builder;
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    const bool parsed = nlohmann::json::sax_parse(text, &builder, nlohmann::json::input_format_t::json,
                                                  strict, ignore_comments);
    if (!parsed) {
        throw settings_error(std::vector{fault{.place = place_of(text, builder.error_position()),
                                               .message = without_prefix(builder.error())}});
    }
    return builder.take();
}

} // namespace rattanmount::settings
