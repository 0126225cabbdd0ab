#include "core/errors.h"
#include "front/front.h"
#include "tests/front/fake_cell.h"
#include "tests/front/raw_http.h"

#include <catch2/catch.hpp>

using namespace rattanmount;
using namespace rattanmount::front;
using namespace std::chrono_literals;

namespace {

const core::endpoint any_port{.address = "127.0.0.1", .port = 0, .path = ""};
constexpr core::milliseconds call_limit{2000};
constexpr core::milliseconds short_limit{200};

core::endpoint closed_port() {
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    return {.address = "127.0.0.1", .port = socket.address().port(), .path = ""};
}

void never_respond(Poco::Net::StreamSocket& connection) {
    read_to_end(connection);
}

core::milliseconds elapsed_time(const std::function<void()>& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

TEST_CASE("a refused connection counts as not sent, and the client tries the next host") {
    const api_client alone{{.hosts = {closed_port()}}};
    CHECK_THROWS_AS(alone.submit(sample_spec(), call_limit), core::unavailable);
    CHECK_THROWS_AS(alone.quick(sample_quick(), call_limit), core::unavailable);
    http_front server{{.listen = any_port, .max_threads = 2, .calls = fake_cell()}};
    server.start();
    const api_client both{{.hosts = {closed_port(), server.endpoint()}}};
    CHECK(both.submit(sample_spec(), call_limit).state == core::answer_state::accepted);
    CHECK(both.quick(sample_quick(), call_limit).result == core::outcome::completed);
}

TEST_CASE("a call to a host that never responds ends within its time limit") {
    scripted_host silent{never_respond};
    const api_client client{{.hosts = {silent.endpoint()}}};
    const auto elapsed = elapsed_time(
        [&] { CHECK_THROWS_AS(client.submit(sample_spec(), short_limit), core::outcome_unknown); });
    CHECK(elapsed < 3 * short_limit);
}

TEST_CASE("a job is retried with the next host, but a quick request that was sent is not") {
    scripted_host silent{never_respond};
    std::atomic<int> quick_runs{0};
    auto calls = fake_cell();
    calls.quick = [&](const core::quick_request&) -> core::quick_answer {
        quick_runs++;
        return {};
    };
    http_front server{{.listen = any_port, .max_threads = 2, .calls = calls}};
    server.start();
    const api_client client{{.hosts = {silent.endpoint(), server.endpoint()}}};
    CHECK(client.submit(sample_spec(), 2 * short_limit).state == core::answer_state::accepted);

    scripted_host closing{[](Poco::Net::StreamSocket& connection) {
        std::array<char, 4096> chunk{};
        connection.receiveBytes(chunk.data(), chunk.size());
    }};
    const api_client after_loss{{.hosts = {closing.endpoint(), server.endpoint()}}};
    CHECK(after_loss.submit(sample_spec(), call_limit).state == core::answer_state::accepted);
    CHECK_THROWS_AS(after_loss.quick(sample_quick(), call_limit), core::outcome_unknown);
    CHECK(quick_runs == 0);
}

TEST_CASE("the outcome stays unknown when the other hosts cannot be reached") {
    scripted_host silent{never_respond};
    const api_client client{{.hosts = {silent.endpoint(), closed_port()}}};
    CHECK_THROWS_AS(client.submit(sample_spec(), short_limit), core::outcome_unknown);
}

TEST_CASE("a response that is truncated, too slow or for another request is rejected") {
    const std::string body = R"({"state":"accepted","result":null,"reason":"","status":null})";
    const auto answer_text = [&](std::size_t length, const std::string& headers) {
        return "HTTP/1.1 202 Accepted\r\nContent-Length: " + std::to_string(length) + "\r\n" + headers +
               "Connection: close\r\n\r\n" + body;
    };
    const auto whole = answer_text(body.size(), "");
    const std::vector<std::string> broken{
        answer_text(body.size() + 5, ""), answer_text(body.size(), "X-Request-Id: other\r\n"),
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body.substr(0, 20), "not HTTP"};
    std::size_t next = 0;
    scripted_host host{[&](Poco::Net::StreamSocket& connection) {
        std::array<char, 4096> chunk{};
        connection.receiveBytes(chunk.data(), chunk.size());
        const auto number = next++;
        if (number <= broken.size()) {
            send_text(connection, number == 0 ? whole : broken[number - 1]);
            connection.shutdownSend();
            read_to_end(connection);
            return;
        }
        for (const char byte : whole) {
            send_text(connection, std::string(1, byte));
            std::this_thread::sleep_for(5ms);
        }
    }};
    const api_client client{{.hosts = {host.endpoint()}}};
    const auto submit = [&] { return client.submit(sample_spec(), 2 * short_limit); };
    CHECK(submit().state == core::answer_state::accepted);
    for (const auto& text : broken) {
        CAPTURE(text);
        CHECK_THROWS_AS(submit(), core::outcome_unknown);
    }
    CHECK(elapsed_time([&] { CHECK_THROWS_AS(submit(), core::outcome_unknown); }) < 4 * short_limit);
}

TEST_CASE("error statuses become typed exceptions") {
    auto calls = fake_cell();
    calls.submit = [](const core::job_spec&, core::milliseconds) -> core::job_answer {
        throw core::invalid_argument("pool: there is none of that name");
    };
    calls.apply_note = [](const std::string&, core::milliseconds) -> core::note_answer {
        throw core::unavailable("starting");
    };
    calls.status = [](const core::job_id&, core::milliseconds) -> core::job_answer {
        return {
            .state = core::answer_state::refused, .result = core::outcome::not_run, .reason = "no such job"};
    };
    http_front server{{.listen = any_port, .max_threads = 2, .max_body_bytes = 2000, .calls = calls}};
    server.start();
    const api_client client{{.hosts = {server.endpoint()}}};
    CHECK_THROWS_WITH(client.submit(sample_spec(), call_limit), "pool: there is none of that name");
    CHECK_THROWS_AS(client.submit(sample_spec(), call_limit), core::invalid_argument);
    CHECK_THROWS_AS(client.apply_note("{}", call_limit), core::unavailable);
    CHECK_THROWS_AS(client.apply_note(std::string(3000, ' ') + "{}", call_limit), core::invalid_argument);
    const auto missing = client.status(sample_id(), call_limit);
    CHECK(missing.state == core::answer_state::refused);
    CHECK(missing.reason == "no such job");
}
