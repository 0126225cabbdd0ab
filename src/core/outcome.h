#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanmount::core {

/// What became of a request. Part of every answer to a caller.
enum class outcome : std::uint8_t {
    completed, ///< It ran and succeeded.
    failed,    ///< It ran and failed, or was stopped while it ran.
    not_run,   ///< It certainly did not run and will not run.
    unknown,   ///< It may have run; ask again by its key.
};

/// @param value an outcome.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(outcome value);

/// @param text the name of an outcome.
/// @return the outcome.
/// @throws core::invalid_argument where there is none of that name.
[[nodiscard]] outcome parse_outcome(std::string_view text);

} // namespace rattanmount::core
