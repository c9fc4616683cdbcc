/** @file filbert-relay: a TCP relay that can lose track of its connections, for fault tests.

    SIGUSR1: connections that are open now go silent for good, new ones pass.
    SIGUSR2: everything goes silent, or passes again.
    SIGHUP: connections that are open now are reset.
    SIGALRM: what comes back from the far end is swallowed, or passes again.
    SIGVTALRM: bytes are held up for a while, or pass at once again.
*/

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

volatile std::sig_atomic_t silenceOpen = 0;
volatile std::sig_atomic_t silenceAll = 0;
volatile std::sig_atomic_t resetOpen = 0;
volatile std::sig_atomic_t silenceBack = 0;
volatile std::sig_atomic_t holdUp = 0;

constexpr int pollMs = 20;
constexpr int heldUpMicroseconds = 120'000; // longer than a try of a start
constexpr int backlog = 128;
constexpr std::size_t bufferBytes = 64 * 1024;

struct relayed_connection
{
    int near = -1;
    int far = -1;
    bool isSilent = false;
    bool isClosed = false;
};

/** @param text  PORT, or IP:PORT of the loopback range */
sockaddr_in endpointOf(const std::string &text)
{
    const auto colon = text.find(':');
    const auto port = colon == std::string::npos ? text : text.substr(colon + 1);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = colon == std::string::npos ? htonl(INADDR_LOOPBACK)
                                                         : inet_addr(text.substr(0, colon).c_str());
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(port.c_str())));
    return address;
}

bool sendAll(int descriptor, const char *data, std::size_t size)
{
    while (size > 0) {
        const auto sent = send(descriptor, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

/** Moves what has come; what comes for a silent connection is read and thrown away. */
void move(relayed_connection &connection, int from, int to, bool isBack)
{
    static char buffer[bufferBytes];
    const auto size = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    const bool isSwallowed = connection.isSilent || silenceAll != 0 || (isBack && silenceBack != 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        connection.isClosed = true;
    } else if (size > 0 && !isSwallowed) {
        connection.isClosed = !sendAll(to, buffer, static_cast<std::size_t>(size));
    }
}

/** Closes it so that the other ends see a reset. */
void reset(const relayed_connection &connection)
{
    const linger none {1, 0};
    for (const int descriptor : {connection.near, connection.far}) {
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close(descriptor);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "expected: [IP:]PORT [IP:]TARGET-PORT\n";
        return 2;
    }
    std::signal(SIGUSR1, [](int) { silenceOpen = 1; });
    std::signal(SIGUSR2, [](int) { silenceAll = 1 - silenceAll; });
    std::signal(SIGHUP, [](int) { resetOpen = 1; });
    std::signal(SIGALRM, [](int) { silenceBack = 1 - silenceBack; });
    std::signal(SIGVTALRM, [](int) { holdUp = 1 - holdUp; });
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto own = endpointOf(argv[1]);
    const auto target = endpointOf(argv[2]);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || listen(listener, backlog) != 0) {
        std::cerr << "cannot listen\n";
        return 1;
    }
    std::vector<relayed_connection> connections;
    while (true) {
        std::vector<pollfd> polled {{listener, POLLIN, 0}};
        for (const auto &connection : connections) {
            polled.push_back({connection.near, POLLIN, 0});
            polled.push_back({connection.far, POLLIN, 0});
        }
        poll(polled.data(), polled.size(), pollMs);
        if (holdUp != 0) {
            usleep(heldUpMicroseconds);
        }
        if (resetOpen != 0) {
            resetOpen = 0;
            std::for_each(connections.begin(), connections.end(), reset);
            connections.clear();
            continue;
        }
        if (silenceOpen != 0) {
            silenceOpen = 0;
            for (auto &connection : connections) {
                connection.isSilent = true;
            }
        }
        for (std::size_t i = 0; i < connections.size(); ++i) {
            auto &connection = connections[i];
            if (polled[1 + 2 * i].revents != 0) {
                move(connection, connection.near, connection.far, false);
            }
            if (polled[2 + 2 * i].revents != 0) {
                move(connection, connection.far, connection.near, true);
            }
            if (connection.isClosed) {
                close(connection.near);
                close(connection.far);
            }
        }
        std::erase_if(connections, [](const auto &each) { return each.isClosed; });
        if ((polled[0].revents & POLLIN) != 0) {
            relayed_connection opened;
            opened.near = accept(listener, nullptr, nullptr);
            opened.far = socket(AF_INET, SOCK_STREAM, 0);
            if (connect(opened.far, reinterpret_cast<const sockaddr *>(&target), sizeof target)
                != 0) {
                close(opened.near);
                close(opened.far);
            } else {
                connections.push_back(opened);
            }
        }
    }
}
