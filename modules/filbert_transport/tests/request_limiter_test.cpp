#include "filbert_transport/filbert_transport.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace filbert;

namespace {

constexpr process_limits smallLimits {64'000'000, 128};
// Four of them fit into the memory for bodies, but not into that for waiting requests.
constexpr std::size_t largeBytes = 700 * 1024;
constexpr milliseconds testTimeout {10'000};

http_limits limitsWith(request_limiter &limiter)
{
    http_limits limits;
    limits.limiter = &limiter;
    return limits;
}

/** Sends a text and reads until the server closes the connection. @return what was read */
std::string exchangeText(int port, const std::string &text)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string answer;
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        char buffer[4096];
        for (ssize_t count = 0; (count = recv(descriptor, buffer, sizeof buffer, 0)) > 0;) {
            answer.append(buffer, static_cast<std::size_t>(count));
        }
    }
    close(descriptor);
    return answer;
}

} // namespace

// Guards against a refusal that does not say that the request has not run, or when to return, and
// against requests that stay counted after their answers.
TEST_CASE("requests that find no room to wait are refused as not run", "[transport]")
{
    constexpr int calls = 4;
    event_loop loop;
    request_limiter limiter {loop, smallLimits};
    std::unique_ptr<http_server> server;
    int handled = 0;
    server = std::make_unique<http_server>(
        loop, "127.0.0.1", 0, limitsWith(limiter), tls_files {}, [&](http_request &&request) {
            ++handled;
            loop.callAfter({300}, [&, id = request.id] { server->respond(id, http_response {}); });
        });
    http_client client {loop, calls};
    std::vector<http_response> answers;
    for (int i = 0; i < calls; ++i) {
        http_call call;
        call.endpoint = "127.0.0.1:" + std::to_string(server->port());
        call.body = std::string(largeBytes, 'x');
        call.timeout = testTimeout;
        client.send(std::move(call), [&](std::error_code error, http_response &&response) {
            CHECK(!error);
            answers.push_back(std::move(response));
            if (answers.size() == calls) {
                loop.stop();
            }
        });
    }
    loop.callAfter(testTimeout, [&] { loop.stop(); });
    loop.run();
    REQUIRE(answers.size() == calls);
    int refused = 0;
    for (const auto &answer : answers) {
        if (answer.status != 200) {
            ++refused;
            CHECK(answer.status == 503);
            CHECK(answer.body.find("not_run") != std::string::npos);
        }
    }
    CHECK(refused > 0);
    CHECK(handled == calls - refused);
    CHECK(limiter.counts()[static_cast<std::size_t>(limit_reason::Waiting)]
              + limiter.counts()[static_cast<std::size_t>(limit_reason::Memory)]
          == static_cast<std::uint64_t>(refused));
    CHECK(limiter.state().heldBytes == 0);
    CHECK(limiter.state().requests.empty());
}

// Guards against a chunked body that is refused without a reason, and against an overload that is
// refused without a time to return.
TEST_CASE("refusals state their reason", "[transport]")
{
    event_loop loop;
    request_limiter limiter {loop, smallLimits};
    auto limits = limitsWith(limiter);
    http_server server {
        loop,   "127.0.0.1",  0,
        limits, tls_files {}, [](http_request &&) { FAIL("no request is complete"); }};
    limits.maxPendingRequests = 0;
    http_server fullServer {
        loop,   "127.0.0.1",  0,
        limits, tls_files {}, [](http_request &&) { FAIL("none is accepted"); }};
    auto chunked = std::async(std::launch::async, exchangeText, server.port(),
                              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto overloaded = std::async(std::launch::async, exchangeText, fullServer.port(),
                                 "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.callEvery({10}, [&] {
        const auto isReady = [](auto &answer) {
            return answer.wait_for(std::chrono::seconds {0}) == std::future_status::ready;
        };
        if (isReady(chunked) && isReady(overloaded)) {
            loop.stop();
        }
    });
    loop.callAfter(testTimeout, [&] { loop.stop(); });
    loop.run();
    const auto chunkedAnswer = chunked.get();
    CHECK(chunkedAnswer.starts_with("HTTP/1.1 400"));
    CHECK(chunkedAnswer.find("Content-Length") != std::string::npos);
    const auto overloadedAnswer = overloaded.get();
    CHECK(overloadedAnswer.starts_with("HTTP/1.1 503"));
    CHECK(overloadedAnswer.find("retry-after:") != std::string::npos);
}

// Guards against a use of a server by its connections after it was destroyed.
TEST_CASE("a limiter and its open connections outlive a server", "[transport]")
{
    event_loop loop;
    request_limiter limiter {loop, smallLimits};
    auto server =
        std::make_unique<http_server>(loop, "127.0.0.1", 0, limitsWith(limiter), tls_files {},
                                      [&](http_request &&) { loop.stop(); });
    http_client client {loop, 1};
    http_call call;
    call.endpoint = "127.0.0.1:" + std::to_string(server->port());
    call.body = "{}";
    call.timeout = testTimeout;
    client.send(std::move(call), [](std::error_code, http_response &&) {});
    loop.callAfter(testTimeout, [&] { loop.stop(); });
    loop.run();
    CHECK(limiter.state().connections.size() == 1);
    CHECK(limiter.state().waitingRequests == 1);
    server.reset();
    CHECK(limiter.state().connections.empty());
    CHECK(limiter.state().requests.empty());
}
