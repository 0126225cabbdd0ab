#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace rattanmount::bench {

/// Whether a figure is the same in each run.
enum class repeats : std::uint8_t { exactly, roughly };

/// One line of the table that dev/bench prints.
struct row {
    std::string measure;
    std::string bound; ///< In plain text; "-" for none.
    double figure = 0.0;
    std::string baseline = "-";
    bool met = true;
    repeats how = repeats::exactly;
};

/// Prints a row in the form that dev/bench reads: fields parted by tabs, after the word ROW.
/// @param line the row.
inline void print_row(const row& line) {
    const char* verdict = line.met ? "met" : "MISSED";
    std::printf("ROW\t%s\t%s\t%.3f\t%s\t%s\t%s\n", line.measure.c_str(), line.bound.c_str(), line.figure,
                line.baseline.c_str(), line.bound == "-" ? "-" : verdict,
                line.how == repeats::exactly ? "exact" : "timed");
    std::fflush(stdout);
}

} // namespace rattanmount::bench
