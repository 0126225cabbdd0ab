#pragma once

#include "core/time.h"
#include "tenancy/team_policy.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace rattanmount::runtime {

enum class key_verdict : std::uint8_t {
    accepted,  ///< A team has the key.
    rejected,  ///< No team has the key, according to the newest configuration.
    undecided, ///< This host does not know the key and could not read the newest configuration.
};

/// The result of key_check::check().
struct key_answer {
    key_verdict verdict = key_verdict::undecided;
    core::team_id team; ///< The team that has the key, if it is accepted.
};

struct key_check_options {
    /// Returns the team of a key according to the configuration that this host has.
    std::function<std::optional<core::team_id>(const tenancy::api_key&)> find_team;
    /// Reads the configuration to the end of its stream, applies it, and returns whether that succeeded.
    /// Blocks; called by one thread at a time.
    std::function<bool()> read_configuration;
    std::function<core::steady_time()> now = [] { return std::chrono::steady_clock::now(); };
    core::milliseconds read_interval{100}; ///< Least time from the start of a read to that of the next.
    core::milliseconds max_wait{1000};     ///< How long a caller waits for a read at most.
    std::size_t max_waiting = 64;          ///< Further callers with unknown keys are not kept waiting.
    core::milliseconds log_interval{1000}; ///< Least time between two log lines about rejected keys.
};

/// Decides whether a caller's key is valid although this host may not have read the version of the
/// configuration that adds it.
///
/// A key that this host knows is accepted at once. For another one the configuration is read once more: a key
/// is rejected only if a read that was sent after its request had arrived has reached the end of the stream.
/// All callers share one read at a time, which one of the waiting threads makes. Any traffic thread may call.
class key_check {
public:
    explicit key_check(key_check_options options);

    /// @param key the key that a caller has sent; empty if it sent none.
    /// @return whether the key is valid. Blocks up to max_wait for a key that this host does not know.
    [[nodiscard]] key_answer check(const tenancy::api_key& key);

private:
    [[nodiscard]] std::optional<key_answer> find(const tenancy::api_key& key) const;
    [[nodiscard]] key_answer reject(const tenancy::api_key& key);
    /// @return whether a read that was sent after a time has succeeded.
    [[nodiscard]] bool await_read(core::steady_time arrived);
    [[nodiscard]] bool await_read(std::unique_lock<std::mutex>& lock, core::steady_time arrived);
    void read(std::unique_lock<std::mutex>& lock);

    key_check_options options;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t waiting = 0;
    bool reading = false;
    core::steady_time next_read_at;
    std::optional<core::steady_time> last_success; ///< When the newest read that succeeded was sent.
    std::optional<core::steady_time> last_failure; ///< When the newest read that failed was sent.
    std::uint64_t rejections = 0;                  ///< Since the last log line.
    core::steady_time next_log_at;
};

} // namespace rattanmount::runtime
