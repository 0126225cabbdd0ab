#pragma once

#include <cstddef>

namespace rattanmount::runtime {

struct read_size_options {
    std::size_t least = 16'384;
    std::size_t most = 1'048'576;
    std::size_t step = 65'536; ///< Added after each read that was answered.
};

/// How many bytes a read asks for, so that its answer arrives within its time limit over a slow link too.
///
/// Grows by a step with each answer and halves with each read that is not answered, as the window of a TCP
/// connection does. Used by one thread.
class read_size {
public:
    explicit read_size(read_size_options options = {}) : options(options), size(options.most) {}

    /// @return how many bytes to ask for.
    [[nodiscard]] std::size_t bytes() const { return this->size; }

    /// Records that a read was answered.
    void on_answer();

    /// Records that a read was not answered in time.
    void on_failure();

    /// Records that a read returned nothing although there is an entry: it is longer than what was asked for.
    void on_nothing_fits();

private:
    read_size_options options;
    std::size_t size;
};

} // namespace rattanmount::runtime
