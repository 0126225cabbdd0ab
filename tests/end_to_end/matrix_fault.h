#pragma once

#include "tests/end_to_end/cell_fixture.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// The entry host that host faults affect. Calls during a fault go through it and through the healthy host.
constexpr int faulty_host = 1;
constexpr int healthy_host = 0;

/// A column of the matrix: a fault.
struct matrix_fault {
    std::string name;
    std::function<void(cell_fixture&)> begin;
    std::function<void(cell_fixture&)> end;
    bool during_calls = false; ///< Whether the fault begins and ends while the calls are in flight.
};

/// @return all columns of the matrix.
[[nodiscard]] std::vector<matrix_fault> matrix_faults();

/// @return the fault with the name, which must be one of `all`; valid as long as `all` is not changed.
[[nodiscard]] const matrix_fault& find_fault(const std::vector<matrix_fault>& all, const std::string& name);

/// Combines two faults into one that applies both at the same time.
[[nodiscard]] matrix_fault combine(const matrix_fault& first, const matrix_fault& second);

} // namespace rattanmount::tests
