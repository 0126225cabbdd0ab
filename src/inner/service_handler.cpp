#include "inner/service_handler.h"

#include "core/errors.h"
#include "inner/conversion.h"
#include "inner/log_conversion.h"
#include "inner/wire_field.h"

#include <algorithm>
#include <utility>

namespace rattanmount::inner {

namespace {

gen::call_error make_error(gen::error_kind::type kind, const std::string& reason) {
    gen::call_error error;
    error.__set_kind(static_cast<std::int8_t>(kind));
    error.__set_reason(reason);
    return error;
}

core::shard_id shard_from_wire(std::int64_t number) {
    if (number < 0) {
        throw core::invalid_argument("shard: is negative");
    }
    return core::shard_id{static_cast<std::uint64_t>(number)};
}

core::milliseconds limit_from_wire(std::int64_t limit_ms) {
    return duration_from_wire(limit_ms, "limit_ms");
}

} // namespace

service_handler::service_handler(cell::peer_calls calls, std::shared_ptr<traffic_counters> counters)
    : calls(std::move(calls)), counters(std::move(counters)) {}

template <typename Hook, typename Work>
void service_handler::run_hook(const Hook& hook, const Work& work) {
    this->counters->calls++;
    try {
        if (!hook) {
            throw core::unavailable("this host does not offer the call");
        }
        work();
        return;
    } catch (const core::invalid_argument& error) {
        this->counters->failed_calls++;
        throw make_error(gen::error_kind::invalid_argument, error.what());
    } catch (const core::unavailable& error) {
        this->counters->failed_calls++;
        throw make_error(gen::error_kind::unavailable, error.what());
    } catch (const std::exception& error) {
        this->counters->failed_calls++;
        throw make_error(gen::error_kind::fate_unknown, error.what());
    }
}

void service_handler::heartbeat(gen::peer_view& answer, const gen::peer_view& caller, std::int64_t limit_ms) {
    this->run_hook(this->calls.heartbeat, [&] {
        answer = to_wire(this->calls.heartbeat(from_wire(caller), limit_from_wire(limit_ms)));
    });
}

void service_handler::submit(gen::owner_answer& answer, std::int64_t shard, const gen::job_spec& spec,
                             std::int64_t limit_ms) {
    this->run_hook(this->calls.submit, [&] {
        answer =
            to_wire(this->calls.submit(shard_from_wire(shard), from_wire(spec), limit_from_wire(limit_ms)));
    });
}

void service_handler::status(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                             std::int64_t limit_ms) {
    this->run_hook(this->calls.status, [&] {
        answer =
            to_wire(this->calls.status(shard_from_wire(shard), from_wire(id), limit_from_wire(limit_ms)));
    });
}

void service_handler::cancel(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                             std::int64_t limit_ms) {
    this->run_hook(this->calls.cancel, [&] {
        answer =
            to_wire(this->calls.cancel(shard_from_wire(shard), from_wire(id), limit_from_wire(limit_ms)));
    });
}

void service_handler::explain(gen::owner_answer& answer, std::int64_t shard, const gen::job_id& id,
                              std::int64_t limit_ms) {
    this->run_hook(this->calls.explain, [&] {
        answer =
            to_wire(this->calls.explain(shard_from_wire(shard), from_wire(id), limit_from_wire(limit_ms)));
    });
}

void service_handler::quick(gen::owner_quick_answer& answer, std::int64_t shard,
                            const gen::quick_request& request) {
    this->run_hook(this->calls.quick,
                   [&] { answer = to_wire(this->calls.quick(shard_from_wire(shard), from_wire(request))); });
}

void service_handler::take_job(gen::owner_answer& answer, std::int64_t shard, const gen::job_spec& spec,
                               std::int64_t accepted_at_ms, std::int64_t limit_ms) {
    this->run_hook(this->calls.take_job, [&] {
        const auto accepted_at = core::from_epoch(core::milliseconds{accepted_at_ms});
        answer = to_wire(this->calls.take_job(shard_from_wire(shard), from_wire(spec), accepted_at,
                                              limit_from_wire(limit_ms)));
    });
}

void service_handler::reserve_slot(gen::slot_grant& answer, std::int64_t shard,
                                   const std::string& service_name, const std::string& caller,
                                   std::int64_t request_limit_ms, std::int64_t limit_ms) {
    this->run_hook(this->calls.reserve_slot, [&] {
        answer = to_wire(this->calls.reserve_slot(
            shard_from_wire(shard), core::service_id{service_name}, core::incarnation_id{caller},
            duration_from_wire(request_limit_ms, "request_limit_ms"), limit_from_wire(limit_ms)));
    });
}

void service_handler::release_slot(std::int64_t shard, std::int64_t grant, std::int8_t how,
                                   std::int64_t limit_ms) {
    this->run_hook(this->calls.release_slot, [&] {
        this->calls.release_slot(shard_from_wire(shard), static_cast<std::uint64_t>(grant),
                                 slot_release_from_wire(how), limit_from_wire(limit_ms));
    });
}

void service_handler::copy_config(gen::config_copy& answer, std::int64_t limit_ms) {
    this->run_hook(this->calls.copy_config,
                   [&] { answer = to_wire(this->calls.copy_config(limit_from_wire(limit_ms))); });
}

void service_handler::timeline(std::string& answer, std::int64_t limit_ms) {
    this->run_hook(this->calls.timeline, [&] { answer = this->calls.timeline(limit_from_wire(limit_ms)); });
}

void service_handler::append_log(gen::log_answer& answer, const gen::log_append_request& request,
                                 std::int64_t limit_ms) {
    this->run_hook(this->calls.append_log, [&] {
        const auto append = from_wire(request);
        answer = to_wire(
            this->calls.append_log(append.stream, append.items, append.stamp, limit_from_wire(limit_ms)));
    });
}

void service_handler::read_log(gen::log_answer& answer, const std::string& stream, std::int64_t from_offset,
                               std::int64_t wait_ms, std::int64_t limit_ms, std::int64_t max_bytes) {
    this->run_hook(this->calls.read_log, [&] {
        const core::log_offset from{static_cast<std::uint64_t>(std::max<std::int64_t>(from_offset, 0))};
        cell::log_read_request request{.from = from, .wait = duration_from_wire(wait_ms, "wait_ms")};
        if (max_bytes > 0) {
            request.max_bytes = static_cast<std::size_t>(max_bytes);
        }
        answer = to_wire(this->calls.read_log(stream, request, limit_from_wire(limit_ms)));
    });
}

void service_handler::newest_log(gen::log_answer& answer, const std::string& stream, std::int64_t limit_ms) {
    this->run_hook(this->calls.newest_log,
                   [&] { answer = to_wire(this->calls.newest_log(stream, limit_from_wire(limit_ms))); });
}

bool service_handler::store_items(const std::vector<gen::log_item>& items, std::int64_t limit_ms) {
    bool stored = false;
    this->run_hook(this->calls.store_items,
                   [&] { stored = this->calls.store_items(from_wire(items), limit_from_wire(limit_ms)); });
    return stored;
}

void service_handler::advise(gen::advice_answer& answer, const gen::advice_request& request,
                             std::int64_t limit_ms) {
    this->run_hook(this->calls.advise, [&] {
        auto order = from_wire(request);
        order.timeout = limit_from_wire(limit_ms);
        answer = to_wire(this->calls.advise(order));
    });
}

void service_handler::explain_submission(gen::placement_explanation& answer, const gen::submission& request,
                                         std::int64_t limit_ms) {
    this->run_hook(this->calls.explain_submission, [&] {
        answer = to_wire(this->calls.explain_submission(from_wire(request), limit_from_wire(limit_ms)));
    });
}

void service_handler::explain_job(gen::placement_explanation& answer, const gen::log_item& job,
                                  std::int64_t limit_ms) {
    this->run_hook(this->calls.explain_job, [&] {
        const cell::keyed_record acceptance{.key = job.key, .value = job.value};
        answer = to_wire(this->calls.explain_job(acceptance, limit_from_wire(limit_ms)));
    });
}

} // namespace rattanmount::inner
