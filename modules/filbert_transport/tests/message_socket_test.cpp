#include "filbert_transport/filbert_transport.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace filbert;

// Guards against a process that is taken for two: when it connects again, messages on its previous
// connection come under a name that it has not chosen.
TEST_CASE("messages left on a replaced connection come under a generated name", "[transport]")
{
    event_loop loop;
    zmq::context_t context {1};
    std::vector<std::pair<std::string, std::string>> received; // name of the peer, message
    message_server server {loop,
                           context,
                           "tcp://127.0.0.1:*",
                           {},
                           [&](const std::string &peer, std::string &&message) {
                               received.emplace_back(peer, std::move(message));
                               if (received.size() == 2) {
                                   loop.stop();
                               }
                           }};
    const auto awaitArrival = [] { std::this_thread::sleep_for(std::chrono::milliseconds {300}); };
    std::vector<zmq::socket_t> connections;
    for (const std::string message : {"first", "second"}) {
        auto &connection = connections.emplace_back(context, zmq::socket_type::dealer);
        connection.set(zmq::sockopt::linger, 0);
        connection.set(zmq::sockopt::routing_id, "gateway-1");
        connection.connect(server.endpoint());
        connection.send(zmq::buffer(message), zmq::send_flags::none);
        awaitArrival(); // the server does not read meanwhile
        if (message == "first") {
            connection.close();
            awaitArrival();
        }
    }
    loop.callAfter({5'000}, [&] { loop.stop(); });
    loop.run();
    REQUIRE(received.size() == 2);
    for (const auto &[peer, message] : received) {
        CHECK(isGeneratedPeerName(peer) == (message == "first"));
        CHECK((peer == "gateway-1") == (message == "second"));
    }
}

// Guards against a process that ends because another one has replaced a silent connection: the
// library failed an assertion when a heartbeat was due on the previous one, which had broken since.
TEST_CASE("a replaced connection that breaks afterwards does no harm", "[transport]")
{
    event_loop loop;
    zmq::context_t context {1};
    std::vector<std::string> received;
    message_server server {
        loop, context, "tcp://127.0.0.1:*", {}, [&](const std::string &, std::string &&message) {
            received.push_back(std::move(message));
            if (received.back() == "last") {
                loop.stop();
            }
        }};
    std::vector<zmq::socket_t> connections;
    const auto connect = [&] {
        auto &connection = connections.emplace_back(context, zmq::socket_type::dealer);
        connection.set(zmq::sockopt::linger, 0);
        connection.set(zmq::sockopt::routing_id, "gateway-1");
        connection.connect(server.endpoint());
        connection.send(zmq::buffer(std::string {"hello"}), zmq::send_flags::none);
    };
    connect();
    loop.callAfter({300}, connect); // replaces the first one
    loop.callAfter({600}, [&] {
        connections[0].send(zmq::buffer(std::string {"unread"}), zmq::send_flags::none);
    });
    loop.callAfter({900}, [&] { connections[0].close(); });
    loop.callAfter({5'000}, [&] { // several periods of heartbeats later
        connections[1].send(zmq::buffer(std::string {"last"}), zmq::send_flags::none);
    });
    loop.callAfter({10'000}, [&] { loop.stop(); });
    loop.run();
    REQUIRE_FALSE(received.empty());
    CHECK(received.back() == "last");
}
