#include "filbert_transport/filbert_transport.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace filbert;

namespace {

/** @return the number of descriptors that this process has registered with epoll */
std::size_t countRegisteredDescriptors()
{
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator {"/proc/self/fdinfo"}) {
        std::ifstream info {entry.path()};
        for (std::string line; std::getline(info, line);) {
            count += line.starts_with("tfd:") ? 1 : 0;
        }
    }
    return count;
}

} // namespace

// Guards against turns that cost by the number of open connections: controllers at hundreds of
// targets spent most of their processor time on passing idle descriptors to the kernel.
TEST_CASE("open connections are registered with the kernel once, not in each turn", "[transport]")
{
    constexpr std::size_t connections = 30;
    event_loop loop;
    std::unique_ptr<http_server> server;
    std::vector<std::uint64_t> requests;
    server = std::make_unique<http_server>(loop, "127.0.0.1", 0, http_limits {}, tls_files {},
                                           [&](http_request &&request) {
                                               requests.push_back(request.id);
                                               if (requests.size() == connections) {
                                                   loop.stop();
                                               }
                                           });
    http_client client {loop, connections};
    const auto before = countRegisteredDescriptors();
    for (std::size_t i = 0; i < connections; ++i) {
        http_call call;
        call.endpoint = "127.0.0.1:" + std::to_string(server->port());
        call.body = "{}";
        call.timeout = {5'000};
        client.send(std::move(call), [](std::error_code, http_response &&) {});
    }
    loop.callAfter({5'000}, [&] { loop.stop(); });
    loop.run();
    REQUIRE(requests.size() == connections);
    CHECK(countRegisteredDescriptors() - before
          >= 2 * connections); // both ends are in this process
}

// Guards against turns that cost by the number of sockets between processes.
TEST_CASE("input is read when its descriptor is readable, not in each turn", "[transport]")
{
    constexpr int turns = 50;
    const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    REQUIRE(descriptor >= 0);
    event_loop loop;
    int reads = 0;
    int values = 0;
    loop.addInput(descriptor, [&] {
        ++reads;
        std::uint64_t value = 0;
        if (read(descriptor, &value, sizeof value) != sizeof value) {
            return input_source::outcome::Nothing;
        }
        ++values;
        return input_source::outcome::ReadAll;
    });
    int turn = 0;
    loop.onWake([&] {
        if (++turn == turns / 2) {
            const std::uint64_t one = 1;
            CHECK(write(descriptor, &one, sizeof one) == sizeof one);
        }
        if (turn == turns) {
            loop.stop();
        }
        return false;
    });
    loop.callEvery({1}, [] {});
    loop.run();
    CHECK(values == 1);
    CHECK(reads <= 2); // at the start, and when the descriptor was readable
    close(descriptor);
}

// Guards against a message that waits for the next timer, because sending another one has consumed
// the signal of its arrival.
TEST_CASE("input that was marked in a turn is read before the loop waits", "[transport]")
{
    const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC); // never readable
    REQUIRE(descriptor >= 0);
    event_loop loop;
    bool hasMessage = false;
    bool isReceived = false;
    const auto input = loop.addInput(descriptor, [&] {
        if (!std::exchange(hasMessage, false)) {
            return input_source::outcome::Nothing;
        }
        isReceived = true;
        return input_source::outcome::ReadAll;
    });
    int turn = 0;
    loop.onWake([&] {
        if (++turn == 2) {
            hasMessage = true;
            input->mark();
        }
        if (isReceived) {
            loop.stop();
        }
        return turn == 1;
    });
    bool hasWaited = false;
    loop.callAfter({1'000}, [&] {
        hasWaited = true;
        loop.stop();
    });
    loop.run();
    CHECK(isReceived);
    CHECK_FALSE(hasWaited);
    close(descriptor);
}
