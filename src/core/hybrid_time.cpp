#include "core/hybrid_time.h"

#include "core/errors.h"

#include <cassert>
#include <cstdio>

namespace rattanmount::core {

namespace {

constexpr std::size_t text_buffer_bytes = 64;

} // namespace

std::uint64_t hybrid_time::number() const {
    assert(this->counter <= max_counter);
    const auto elapsed = static_cast<std::uint64_t>(since_epoch(this->wall).count());
    return elapsed << counter_bits | this->counter;
}

hybrid_time hybrid_time::from_number(std::uint64_t number) {
    const milliseconds elapsed{static_cast<milliseconds::rep>(number >> counter_bits)};
    return {.wall = from_epoch(elapsed), .counter = static_cast<std::uint32_t>(number & max_counter)};
}

std::string hybrid_time::text() const {
    const auto day = std::chrono::floor<std::chrono::days>(this->wall);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss clock{std::chrono::floor<milliseconds>(this->wall - day)};
    char text[text_buffer_bytes];
    const int size =
        std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ/%u",
                      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                      static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                      static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()),
                      static_cast<int>(clock.subseconds().count()), this->counter);
    return std::string(text, static_cast<std::size_t>(size));
}

hybrid_time hybrid_time::parse(std::string_view text) {
    const std::string whole{text};
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int fraction = 0;
    unsigned counter = 0;
    // sscanf also accepts other forms, for example signs and fewer digits; the comparison with text() below
    // rejects them.
    // NOLINTNEXTLINE(cert-err34-c)
    const int found = std::sscanf(whole.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ/%5u", &year, &month, &day,
                                  &hour, &minute, &second, &fraction, &counter);
    constexpr int all_fields = 8;
    const std::chrono::year_month_day date{std::chrono::year{year}, std::chrono::month{month},
                                           std::chrono::day{day}};
    if (found == all_fields && date.ok() && counter <= max_counter) {
        const system_time wall = std::chrono::sys_days{date} + std::chrono::hours{hour} +
                                 std::chrono::minutes{minute} + std::chrono::seconds{second} +
                                 milliseconds{fraction};
        const hybrid_time result{.wall = wall, .counter = counter};
        if (result.text() == whole) {
            return result;
        }
    }
    throw invalid_argument("expected a time such as 2026-03-01T09:30:00.250Z/0, got '" + whole + "'");
}

} // namespace rattanmount::core
