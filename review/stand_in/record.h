#pragma once

#include "http.h"

#include <fstream>
#include <iomanip>
#include <mutex>

namespace review {

/// The record of a case: one line per event, with the milliseconds since the start.
class record_file {
public:
    explicit record_file(const std::string& path) : out(path) { now_ms(); }

    void line(const std::string& text) {
        const std::lock_guard guard{this->mutex};
        this->out << std::setw(7) << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

} // namespace review
