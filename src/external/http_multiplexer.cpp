#include "external/http_multiplexer.h"

#include "external/http_encoding.h"
#include "telemetry/logging.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace rattanmount::external {

namespace {

/// The longest wait of the thread, and the interval at which idle connections and waiting calls are checked.
constexpr core::milliseconds longest_wait{500};

/// Passes an answer to its handler; logs an exception from the handler.
void report(const http_multiplexer::answer_handler& done, http_answer answer) {
    try {
        done(std::move(answer));
    } catch (const std::exception& error) {
        telemetry::log_state("handler of an HTTP answer failed", {{"reason", error.what()}},
                             telemetry::log_level::error);
    }
}

} // namespace

http_multiplexer::http_multiplexer(http_multiplexer_options options)
    : options(options), thread([this](const std::stop_token& stop) { this->run(stop); }) {}

http_multiplexer::~http_multiplexer() {
    this->thread.request_stop();
    this->waker.wake();
    this->thread.join();
}

void http_multiplexer::post(std::function<void()> work) {
    bool first = false;
    {
        const std::lock_guard guard{this->mutex};
        first = this->posted.empty();
        this->posted.push_back(std::move(work));
    }
    if (first) {
        this->waker.wake();
    }
}

void http_multiplexer::call(const core::endpoint& peer, const http_message& message, const call_times& times,
                            answer_handler done) {
    ++this->traffic.calls;
    auto& state = this->peers.try_emplace(peer, peer, this->options.max_connections).first->second;
    const auto left =
        std::chrono::ceil<core::milliseconds>(times.deadline - std::chrono::steady_clock::now());
    this->start(state,
                {.bytes = encode_request(message, peer.address + ":" + std::to_string(peer.port), left),
                 .times = times,
                 .done = std::move(done)});
}

void http_multiplexer::run(const std::stop_token& stop) {
    this->polled.add(this->waker.socket(), Poco::Net::PollSet::POLL_READ);
    while (!stop.stop_requested()) {
        const auto wait = this->next_wait(std::chrono::steady_clock::now());
        for (const auto& [socket, mode] :
             this->polled.poll(Poco::Timespan{std::chrono::microseconds{wait}.count()})) {
            if (socket == this->waker.socket()) {
                this->waker.drain();
            } else {
                this->on_ready(socket);
            }
        }
        this->run_posted();
        const auto now = std::chrono::steady_clock::now();
        this->time_out_exchanges(now);
        this->sweep(now);
    }
}

void http_multiplexer::run_posted() {
    std::vector<std::function<void()>> work;
    {
        const std::lock_guard guard{this->mutex};
        work.swap(this->posted);
    }
    for (const auto& one : work) {
        try {
            one();
        } catch (const std::exception& error) {
            telemetry::log_state("function posted to the HTTP multiplexer failed", {{"reason", error.what()}},
                                 telemetry::log_level::error);
        }
    }
}

core::milliseconds http_multiplexer::next_wait(core::steady_time now) const {
    if (this->deadlines.empty()) {
        return longest_wait;
    }
    const auto left = std::chrono::ceil<core::milliseconds>(this->deadlines.begin()->first - now);
    return std::clamp(left, core::milliseconds{0}, longest_wait);
}

void http_multiplexer::on_ready(const Poco::Net::Socket& socket) {
    const auto found = this->connections.find(socket);
    if (found == this->connections.end()) {
        return;
    }
    auto& connection = *found->second;
    if (!connection.done) {
        // The peer closed an idle connection or sent unsolicited bytes.
        connection.peer.closed_by_server_at = std::chrono::steady_clock::now();
        std::erase(connection.peer.idle, &connection);
        this->close(connection, false);
        return;
    }
    if (auto answer = connection.channel.proceed(std::chrono::steady_clock::now())) {
        this->finish(connection, std::move(*answer));
    } else {
        this->poll_for(connection);
    }
}

void http_multiplexer::start(peer_state& peer, pending_call call) {
    if (this->refuse_outdated(peer, call)) {
        return;
    }
    if (!peer.idle.empty()) {
        auto* const connection = peer.idle.back();
        peer.idle.pop_back();
        this->begin_exchange(*connection, std::move(call));
    } else if (peer.budget.take(std::chrono::steady_clock::now())) {
        this->open_connection(peer, std::move(call));
    } else {
        peer.waiting.push_back(std::move(call));
    }
}

bool http_multiplexer::refuse_outdated(peer_state& peer, const pending_call& call) {
    const auto& issued_at = call.times.issued_at;
    if (!issued_at || !peer.closed_by_server_at || *peer.closed_by_server_at < *issued_at) {
        return false;
    }
    ++this->traffic.failures;
    report(call.done,
           {.outcome = exchange_outcome::not_sent,
            .body = "",
            .etag = "",
            .reason = peer.endpoint.text() + " closed a connection after the call had been issued"});
    return true;
}

void http_multiplexer::open_connection(peer_state& peer, pending_call call) {
    try {
        auto opened = std::make_unique<connection>(peer, http_channel{peer.endpoint, this->traffic});
        auto& connection = *opened;
        this->polled.add(connection.channel.socket(), Poco::Net::PollSet::POLL_READ);
        this->connections.emplace(connection.channel.socket(), std::move(opened));
        this->begin_exchange(connection, std::move(call));
    } catch (const Poco::Exception& error) {
        peer.budget.give_back();
        ++this->traffic.failures;
        report(
            call.done,
            {.outcome = exchange_outcome::not_sent, .body = "", .etag = "", .reason = error.displayText()});
    }
}

void http_multiplexer::begin_exchange(connection& connection, pending_call call) {
    connection.done = std::move(call.done);
    connection.due = this->deadlines.emplace(call.times.deadline, &connection);
    if (auto answer = connection.channel.begin(std::move(call.bytes), std::chrono::steady_clock::now())) {
        this->finish(connection, std::move(*answer));
    } else {
        this->poll_for(connection);
    }
}

void http_multiplexer::poll_for(connection& connection) {
    const bool send = connection.channel.wants_to_send();
    if (send != connection.polled_for_send) {
        connection.polled_for_send = send;
        this->polled.update(connection.channel.socket(),
                            Poco::Net::PollSet::POLL_READ | (send ? Poco::Net::PollSet::POLL_WRITE : 0));
    }
}

void http_multiplexer::finish(connection& connection, http_answer answer) {
    const auto due = connection.due->first;
    this->deadlines.erase(connection.due);
    const auto done = std::exchange(connection.done, nullptr);
    auto& peer = connection.peer;
    if (answer.outcome == exchange_outcome::answered && answer.keep_alive &&
        peer.idle.size() < this->options.max_idle) {
        this->poll_for(connection);
        peer.idle.push_back(&connection);
    } else {
        const bool failed = answer.outcome != exchange_outcome::answered;
        this->traffic.failures += failed ? 1 : 0;
        const bool timed_out = std::chrono::steady_clock::now() >= due;
        if (failed && !timed_out) {
            peer.closed_by_server_at = std::chrono::steady_clock::now();
        }
        const bool reused = connection.channel.reused();
        const auto begun_at = connection.channel.last_begin();
        this->close(connection, failed);
        if (failed && reused) {
            this->close_unverified(peer, begun_at);
        }
    }
    report(done, std::move(answer));
    this->start_waiting_calls(peer);
}

void http_multiplexer::close(connection& connection, bool linger) {
    if (linger && this->options.linger.count() > 0) {
        connection.peer.budget.linger(std::chrono::steady_clock::now() + this->options.linger);
    } else {
        connection.peer.budget.give_back();
    }
    const auto socket = connection.channel.socket();
    this->polled.remove(socket);
    this->connections.erase(socket);
}

void http_multiplexer::close_unverified(peer_state& peer, core::steady_time since) {
    const auto idle = std::exchange(peer.idle, {});
    for (auto* const connection : idle) {
        if (connection->channel.last_verified() >= since) {
            peer.idle.push_back(connection);
        } else {
            this->close(*connection, true);
        }
    }
}

void http_multiplexer::start_waiting_calls(peer_state& peer) {
    while (!peer.waiting.empty()) {
        if (peer.idle.empty() && !peer.budget.take(std::chrono::steady_clock::now())) {
            return;
        }
        auto call = std::move(peer.waiting.front());
        peer.waiting.pop_front();
        if (!peer.idle.empty()) {
            this->start(peer, std::move(call));
        } else if (this->refuse_outdated(peer, call)) {
            peer.budget.give_back();
        } else {
            this->open_connection(peer, std::move(call));
        }
    }
}

void http_multiplexer::time_out_exchanges(core::steady_time now) {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        auto& connection = *this->deadlines.begin()->second;
        this->finish(connection, connection.channel.give_up());
    }
}

void http_multiplexer::sweep(core::steady_time now) {
    if (now < this->swept_at + longest_wait) {
        return;
    }
    this->swept_at = now;
    for (auto place = this->peers.begin(); place != this->peers.end();) {
        auto& peer = place->second;
        while (!peer.idle.empty() &&
               peer.idle.front()->channel.last_verified() + this->options.idle_limit <= now) {
            auto* const connection = peer.idle.front();
            peer.idle.erase(peer.idle.begin());
            this->close(*connection, false);
        }
        this->fail_expired_waiting(peer, now);
        this->start_waiting_calls(peer);
        const bool used = peer.budget.used(now) > 0 || !peer.waiting.empty();
        place = used ? std::next(place) : this->peers.erase(place);
    }
}

void http_multiplexer::fail_expired_waiting(peer_state& peer, core::steady_time now) {
    while (!peer.waiting.empty() && peer.waiting.front().times.deadline <= now) {
        const auto done = std::move(peer.waiting.front().done);
        peer.waiting.pop_front();
        ++this->traffic.failures;
        report(done, {.outcome = exchange_outcome::not_sent,
                      .body = "",
                      .etag = "",
                      .reason = "all connections to " + peer.endpoint.text() + " are in use"});
    }
}

} // namespace rattanmount::external
