#include "inner/inner_client.h"

#include "core/errors.h"
#include "inner/call_runner.h"
#include "inner/conversion.h"
#include "inner/log_conversion.h"

#include <cassert>
#include <string>

namespace rattanmount::inner {

namespace {

using thrift_client = gen::peer_serviceClient;
using core::milliseconds;

std::shared_ptr<call_runner> make_runner(const inner_client_options& options, std::uint32_t max_connections) {
    return std::make_shared<call_runner>(
        connection_pool_options{.peer = options.peer,
                                .max_connections = max_connections,
                                .idle_limit = options.idle_limit,
                                .limits = make_limits(options.max_message_bytes),
                                .counters = options.counters});
}

/// Decodes an answer. An answer that cannot be decoded leaves the outcome of the call unknown.
template <typename Message>
auto decode(const Message& message) {
    try {
        return from_wire(message);
    } catch (const core::invalid_argument& error) {
        throw core::outcome_unknown(std::string{"the peer's answer is not valid: "} + error.what());
    }
}

/// Runs a call that returns a message.
/// @param send sends the request.
/// @param receive the member of the generated client that receives the answer.
template <typename Message, typename Send>
auto invoke(call_runner& runner, retry_policy policy, milliseconds limit, const Send& send,
            void (thrift_client::*receive)(Message&)) {
    Message message;
    const rpc_call call{.send = send, .receive = [&message, receive](thrift_client& client) {
                            message = Message{};
                            (client.*receive)(message);
                        }};
    runner.run(call, policy, limit);
    return message;
}

} // namespace

inner_client::inner_client(const inner_client_options& options)
    : default_quick_limit(options.default_quick_limit), heartbeats(make_runner(options, 1)),
      calls(make_runner(options, options.max_connections)) {
    assert(options.counters);
    silence_thrift_output();
}

cell::peer_calls inner_client::hooks() const {
    cell::peer_calls hooks;
    hooks.heartbeat = [runner = this->heartbeats](const cell::peer_view& caller, milliseconds limit) {
        const auto request = to_wire(caller);
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) { client.send_heartbeat(request, left.count()); },
            &thrift_client::recv_heartbeat));
    };
    hooks.copy_config = [runner = this->calls](milliseconds limit) {
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [](thrift_client& client, milliseconds left) { client.send_copy_config(left.count()); },
            &thrift_client::recv_copy_config));
    };
    hooks.timeline = [runner = this->calls](milliseconds limit) {
        return invoke(
            *runner, retry_policy::retry_once, limit,
            [](thrift_client& client, milliseconds left) { client.send_timeline(left.count()); },
            &thrift_client::recv_timeline);
    };
    hooks.advise = [runner = this->calls](const dispatch::advice_order& order) {
        const auto request = to_wire(order);
        return decode(invoke(
            *runner, retry_policy::no_retry, order.timeout,
            [&](thrift_client& client, milliseconds left) { client.send_advise(request, left.count()); },
            &thrift_client::recv_advise));
    };
    this->add_job_hooks(hooks);
    this->add_slot_hooks(hooks);
    this->add_log_hooks(hooks);
    this->add_explanation_hooks(hooks);
    return hooks;
}

void inner_client::add_job_hooks(cell::peer_calls& hooks) const {
    hooks.submit = [runner = this->calls](core::shard_id shard, const core::job_spec& spec,
                                          milliseconds limit) {
        const auto request = to_wire(spec);
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) {
                client.send_submit(to_wire(shard), request, left.count());
            },
            &thrift_client::recv_submit));
    };
    hooks.take_job = [runner = this->calls](core::shard_id to, const core::job_spec& spec,
                                            core::system_time accepted_at, milliseconds limit) {
        const auto request = to_wire(spec);
        const auto accepted_at_ms = core::since_epoch(accepted_at).count();
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) {
                client.send_take_job(to_wire(to), request, accepted_at_ms, left.count());
            },
            &thrift_client::recv_take_job));
    };
    const auto by_id = [runner = this->calls](auto send, auto receive) {
        return [runner, send, receive](core::shard_id shard, const core::job_id& id, milliseconds limit) {
            const auto request = to_wire(id);
            return decode(invoke(
                *runner, retry_policy::retry_once, limit,
                [&](thrift_client& client, milliseconds left) {
                    (client.*send)(to_wire(shard), request, left.count());
                },
                receive));
        };
    };
    hooks.status = by_id(&thrift_client::send_status, &thrift_client::recv_status);
    hooks.cancel = by_id(&thrift_client::send_cancel, &thrift_client::recv_cancel);
    hooks.explain = by_id(&thrift_client::send_explain, &thrift_client::recv_explain);
}

void inner_client::add_slot_hooks(cell::peer_calls& hooks) const {
    hooks.quick = [runner = this->calls, default_limit = this->default_quick_limit](
                      core::shard_id shard, const core::quick_request& request) {
        const auto limit = request.limit.count() > 0 ? request.limit : default_limit;
        auto message = to_wire(request);
        return decode(invoke(
            *runner, retry_policy::no_retry, limit,
            [&](thrift_client& client, milliseconds left) {
                message.__set_limit_ms(left.count());
                client.send_quick(to_wire(shard), message);
            },
            &thrift_client::recv_quick));
    };
    hooks.reserve_slot = [runner = this->calls](core::shard_id shard, const core::service_id& service,
                                                const core::incarnation_id& caller,
                                                milliseconds request_limit, milliseconds limit) {
        return decode(invoke(
            *runner, retry_policy::no_retry, limit,
            [&](thrift_client& client, milliseconds left) {
                client.send_reserve_slot(to_wire(shard), service.value(), caller.value(),
                                         request_limit.count(), left.count());
            },
            &thrift_client::recv_reserve_slot));
    };
    hooks.release_slot = [runner = this->calls](core::shard_id shard, std::uint64_t grant,
                                                cell::slot_release how, milliseconds limit) {
        const rpc_call call{.send =
                                [&](thrift_client& client, milliseconds left) {
                                    client.send_release_slot(to_wire(shard), static_cast<std::int64_t>(grant),
                                                             to_wire(how), left.count());
                                },
                            .receive = [](thrift_client& client) { client.recv_release_slot(); }};
        runner->run(call, retry_policy::retry_once, limit);
    };
}

void inner_client::add_log_hooks(cell::peer_calls& hooks) const {
    // An append may be retried: the log deduplicates appends by the producer's sequence number.
    hooks.append_log = [runner = this->calls](const std::string& stream,
                                              const std::vector<cell::keyed_record>& items,
                                              const cell::producer_stamp& stamp, milliseconds limit) {
        const auto request = to_wire(forwarded_append{.stream = stream, .items = items, .stamp = stamp});
        return append_answer_from_wire(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) { client.send_append_log(request, left.count()); },
            &thrift_client::recv_append_log));
    };
    hooks.read_log = [runner = this->calls](const std::string& stream, const cell::log_read_request& request,
                                            milliseconds limit) {
        return read_answer_from_wire(invoke(
            *runner, retry_policy::retry_if_silent, limit,
            [&](thrift_client& client, milliseconds left) {
                client.send_read_log(stream, to_wire(request.from), request.wait.count(), left.count(),
                                     static_cast<std::int64_t>(request.max_bytes));
            },
            &thrift_client::recv_read_log));
    };
    hooks.store_items = [runner = this->calls](const std::vector<cell::keyed_record>& items,
                                               milliseconds limit) {
        const auto request = to_wire(items);
        bool stored = false;
        const rpc_call call{
            .send = [&](thrift_client& client,
                        milliseconds left) { client.send_store_items(request, left.count()); },
            .receive = [&stored](thrift_client& client) { stored = client.recv_store_items(); }};
        runner->run(call, retry_policy::retry_once, limit);
        return stored;
    };
    hooks.newest_log = [runner = this->calls](const std::string& stream, milliseconds limit) {
        return newest_answer_from_wire(invoke(
            *runner, retry_policy::retry_if_silent, limit,
            [&](thrift_client& client, milliseconds left) { client.send_newest_log(stream, left.count()); },
            &thrift_client::recv_newest_log));
    };
}

void inner_client::add_explanation_hooks(cell::peer_calls& hooks) const {
    hooks.explain_submission = [runner = this->calls](const cell::submission& request, milliseconds limit) {
        const auto message = to_wire(request);
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) {
                client.send_explain_submission(message, left.count());
            },
            &thrift_client::recv_explain_submission));
    };
    hooks.explain_job = [runner = this->calls](const cell::keyed_record& acceptance, milliseconds limit) {
        const auto message = to_wire(std::vector{acceptance}).front();
        return decode(invoke(
            *runner, retry_policy::retry_once, limit,
            [&](thrift_client& client, milliseconds left) { client.send_explain_job(message, left.count()); },
            &thrift_client::recv_explain_job));
    };
}

} // namespace rattanmount::inner
