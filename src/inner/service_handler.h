#pragma once

#include "cell/peer_calls.h"
#include "inner/gen/peer_service.h"
#include "inner/traffic_counters.h"

#include <memory>
#include <string>

namespace rattanmount::inner {

/// Decodes the calls of the inner protocol, runs the hooks and encodes their results.
///
/// Owned by the processor of an inner_server; traffic threads call it concurrently. Exceptions of the hooks
/// are returned to the caller as gen::call_error.
class service_handler : public gen::peer_serviceIf {
public:
    /// @param calls the hooks; a call whose hook is not set fails as unavailable.
    /// @param counters receive the call counts.
    service_handler(cell::peer_calls calls, std::shared_ptr<traffic_counters> counters);

    void heartbeat(gen::peer_view& answer, const gen::peer_view& caller, std::int64_t limit_ms) override;
    void submit(gen::owner_answer& answer, std::int64_t shard, const gen::job_spec& spec,
                std::int64_t limit_ms) override;
    void status(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                std::int64_t limit_ms) override;
    void cancel(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                std::int64_t limit_ms) override;
    void explain(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                 std::int64_t limit_ms) override;
    void quick(gen::owner_quick_answer& answer, std::int64_t shard,
               const gen::quick_request& request) override;
    void take_job(gen::owner_answer& answer, std::int64_t shard, const gen::job_spec& spec,
                  std::int64_t accepted_at_ms, std::int64_t limit_ms) override;
    void reserve_slot(gen::slot_grant& answer, std::int64_t shard, const std::string& service_name,
                      const std::string& caller, std::int64_t request_limit_ms,
                      std::int64_t limit_ms) override;
    void release_slot(std::int64_t shard, std::int64_t grant, std::int8_t how,
                      std::int64_t limit_ms) override;
    void copy_config(gen::config_copy& answer, std::int64_t limit_ms) override;
    void timeline(std::string& answer, std::int64_t limit_ms) override;
    void append_log(gen::log_answer& answer, const gen::log_append_request& request,
                    std::int64_t limit_ms) override;
    void read_log(gen::log_answer& answer, const std::string& stream, std::int64_t from_offset,
                  std::int64_t wait_ms, std::int64_t limit_ms, std::int64_t max_bytes) override;
    void newest_log(gen::log_answer& answer, const std::string& stream, std::int64_t limit_ms) override;
    bool store_items(const std::vector<gen::log_item>& items, std::int64_t limit_ms) override;
    void advise(gen::advice_answer& answer, const gen::advice_request& request,
                std::int64_t limit_ms) override;
    void explain_submission(gen::placement_explanation& answer, const gen::submission& request,
                            std::int64_t limit_ms) override;
    void explain_job(gen::placement_explanation& answer, const gen::log_item& job,
                     std::int64_t limit_ms) override;

private:
    /// Runs one call and converts its exceptions to gen::call_error.
    template <typename Hook, typename Work>
    void run_hook(const Hook& hook, const Work& work);

    cell::peer_calls calls;
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
