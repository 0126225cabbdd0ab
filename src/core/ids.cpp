#include "core/ids.h"

#include "core/errors.h"

#include <charconv>
#include <random>

namespace rattanmount::core {

namespace {

std::uint32_t parse_number(const std::string& whole, const std::string& digits) {
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        throw invalid_argument("expected TEAM/KEY#TASK.ATTEMPT, got '" + whole + "'");
    }
    return number;
}

} // namespace

attempt_id attempt_id::parse(const std::string& text) {
    const auto slash = text.find('/');
    const auto hash = text.rfind('#');
    const auto dot = text.rfind('.');
    if (slash == std::string::npos || hash == std::string::npos || dot == std::string::npos || hash < slash ||
        dot < hash) {
        throw invalid_argument("expected TEAM/KEY#TASK.ATTEMPT, got '" + text + "'");
    }
    return attempt_id{.job = {.team = team_id{text.substr(0, slash)},
                              .key = request_key{text.substr(slash + 1, hash - slash - 1)}},
                      .task = parse_number(text, text.substr(hash + 1, dot - hash - 1)),
                      .attempt = parse_number(text, text.substr(dot + 1))};
}

incarnation_id make_incarnation(const host_id& host) {
    std::random_device entropy;
    const std::uint64_t number = (static_cast<std::uint64_t>(entropy()) << 32U) | entropy();
    return incarnation_id{host.value() + "-" + std::to_string(number)};
}

} // namespace rattanmount::core
