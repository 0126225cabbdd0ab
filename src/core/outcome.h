#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanmount::core {

/// The outcome of a request. Part of every answer to a caller.
enum class outcome : std::uint8_t {
    completed, ///< It ran successfully.
    failed,    ///< It ran and failed, or was stopped while it ran.
    not_run,   ///< It certainly did not run and will not run.
    unknown,   ///< It may have run; the caller queries or retries with the same key.
};

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(outcome value);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] outcome parse_outcome(std::string_view text);

} // namespace rattanmount::core
