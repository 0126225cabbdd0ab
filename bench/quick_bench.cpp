#include "core/time.h"
#include "external/http_executor_client.h"
#include "tests/end_to_end/cell_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

using namespace rattanmount;

namespace {

constexpr int rate = 2000; ///< Previews per second.
constexpr int threads = 40;
constexpr core::milliseconds duration{5000};
constexpr core::milliseconds call_limit{2000};
constexpr int run_ms = 2; ///< Run time of a preview on the executor.
constexpr double added_p99_bound_ms = 5;

/// Sends a preview (a quick request) and returns whether it was completed.
using sender = std::function<bool(const std::string& key)>;

/// The results of one run.
struct run_result {
    std::vector<double> latencies; ///< Sorted, in milliseconds from the scheduled send time.
    std::size_t failed = 0;
    double seconds = 0;
};

/// Latency percentiles in milliseconds.
struct summary {
    double p50 = 0;
    double p99 = 0;
};

double quantile(const std::vector<double>& sorted, double fraction) {
    return sorted.at(static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1)));
}

/// Sends requests on a fixed schedule. A late answer delays the next requests of its thread; because latency
/// is taken from the scheduled time, it includes this delay.
run_result send_all(const std::string& name, const std::function<sender(int thread)>& make_sender) {
    const auto begin = std::chrono::steady_clock::now() + core::milliseconds{200};
    const auto interval = std::chrono::nanoseconds{1'000'000'000LL * threads / rate};
    const auto count = static_cast<int>(std::chrono::nanoseconds{duration} / interval);
    std::vector<run_result> parts(threads);
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int number = 0; number < threads; ++number) {
        running.emplace_back([&, number] {
            auto& part = parts[static_cast<std::size_t>(number)];
            const auto send = make_sender(number);
            for (int index = 0; index < count; ++index) {
                const auto due = begin + interval * index + interval * number / threads;
                std::this_thread::sleep_until(due);
                const auto key = name + "-" + std::to_string(number) + "-" + std::to_string(index);
                part.failed += send(key) ? 0 : 1;
                part.latencies.push_back(
                    std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - due)
                        .count());
            }
        });
    }
    for (auto& thread : running) {
        thread.join();
    }
    run_result all;
    all.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    for (const auto& part : parts) {
        all.failed += part.failed;
        all.latencies.insert(all.latencies.end(), part.latencies.begin(), part.latencies.end());
    }
    std::ranges::sort(all.latencies);
    return all;
}

summary print_summary(const std::string& name, const run_result& result) {
    const summary result_summary{.p50 = quantile(result.latencies, 0.5),
                                 .p99 = quantile(result.latencies, 0.99)};
    std::cout << name << ": " << result.latencies.size() << " sent, " << result.failed << " not completed, "
              << static_cast<double>(result.latencies.size() - result.failed) / result.seconds
              << " completed/s, p50 " << result_summary.p50 << " ms, p99 " << result_summary.p99 << " ms\n";
    return result_summary;
}

std::string request_body() {
    return nlohmann::json{{"run_ms", run_ms}}.dump();
}

sender through_host(int port) {
    auto session =
        std::make_shared<Poco::Net::HTTPClientSession>("127.0.0.1", static_cast<Poco::UInt16>(port));
    session->setKeepAlive(true);
    session->setTimeout(Poco::Timespan{call_limit.count() * 1000});
    return [session](const std::string& key) {
        try {
            const auto body = nlohmann::json{
                {"team", "tabua"},
                {"key", key},
                {"pool", "previews"},
                {"service", "templates"},
                {"body",
                 request_body()}}.dump();
            Poco::Net::HTTPRequest request{"POST", "/v1/quick", Poco::Net::HTTPMessage::HTTP_1_1};
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            request.setKeepAlive(true);
            session->sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::string text;
            Poco::StreamCopier::copyToString(session->receiveResponse(response), text);
            return response.getStatus() == 200 && text.find("completed") != std::string::npos;
        } catch (const Poco::Exception&) {
            session->reset();
            return false;
        }
    };
}

} // namespace

TEST_CASE("previews at a fixed rate through entry hosts and directly to the executors") {
    tests::cell_fixture cell{{.hosts = 3, .shards = 4}};
    cell.wait_until_serving();
    cell.apply_first_note();

    external::http_executor_client client{{}};
    const auto hooks = client.hooks();
    const auto names = cell.executors();
    const auto direct = [&](int thread) -> sender {
        const auto& name = names.at(static_cast<std::size_t>(thread) % names.size());
        const auto address = core::endpoint{.address = "127.0.0.1",
                                            .port = static_cast<std::uint16_t>(cell.executor_port(name)),
                                            .path = "/executors/" + name};
        return [&hooks, name, address](const std::string& key) {
            const auto reply =
                hooks.call({.executor = core::executor_id{name},
                            .address = address,
                            .correlation = key,
                            .id = {.team = core::team_id{"tabua"}, .key = core::request_key{key}},
                            .body = request_body(),
                            .limit = call_limit});
            return reply.verdict == external::call_verdict::answered;
        };
    };
    const auto routed = [&](int thread) { return through_host(cell.front_port(thread % 3)); };

    send_all("warm", routed);
    const auto direct_summary = print_summary("direct ", send_all("direct", direct));
    const auto result = send_all("routed", routed);
    const auto routed_summary = print_summary("through", result);
    std::cout << "added p50 " << routed_summary.p50 - direct_summary.p50 << " ms, added p99 "
              << routed_summary.p99 - direct_summary.p99 << " ms (bound: " << added_p99_bound_ms << " ms at "
              << rate << " per second)\n";
    CHECK(result.failed == 0);
}
