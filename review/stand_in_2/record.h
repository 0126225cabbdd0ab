#pragma once

// The record of a case: what was sent, answered and run, with the time since its start.

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace stand_in {

class case_record {
public:
    explicit case_record(const std::string& path) : file(path) {}

    void add(const std::string& line) {
        const std::lock_guard guard{this->mutex};
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", this->seconds());
        this->file << time << line << std::endl;
    }

    [[nodiscard]] double seconds() const {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->began).count();
    }

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
};

} // namespace stand_in
