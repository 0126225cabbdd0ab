#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace rattanmount::bench {

/// Whether a figure is the same in every run or depends on the speed of the machine.
enum class figure_kind : std::uint8_t { exact, timed };

/// A row of the table that dev/bench prints.
struct row {
    std::string measure; ///< What the figure says. KNOWN-RED.txt names rows by this text.
    std::string bound;   ///< The bound as text, such as "< 64"; "-" for none.
    double figure = 0.0;
    std::string baseline = "-"; ///< Figures of other implementations under the same load; "-" for none.
    bool met = true;            ///< Whether the figure is within the bound.
    figure_kind kind = figure_kind::exact;
};

/// Prints a row in the format that dev/bench parses: the word ROW and the fields, separated by tabs.
/// @param line the row.
inline void print_row(const row& line) {
    const char* verdict = line.met ? "met" : "MISSED";
    std::printf("ROW\t%s\t%s\t%.3f\t%s\t%s\t%s\n", line.measure.c_str(), line.bound.c_str(), line.figure,
                line.baseline.c_str(), line.bound == "-" ? "-" : verdict,
                line.kind == figure_kind::exact ? "exact" : "timed");
    std::fflush(stdout);
}

} // namespace rattanmount::bench
