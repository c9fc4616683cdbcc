/** @file filbert-relay: a TCP relay that injects network faults on signals, for fault tests.

    SIGUSR1: discards all data on the connections that are open now; later connections work.
    SIGUSR2: switches on or off that data is discarded on all connections.
    SIGHUP: resets the connections that are open now.
    SIGALRM: switches on or off that data from the target to the client is discarded.
    SIGVTALRM: switches on or off that data is delayed.
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

volatile std::sig_atomic_t mustSilenceConnections = 0;
volatile std::sig_atomic_t isSilencingAll = 0;
volatile std::sig_atomic_t mustResetConnections = 0;
volatile std::sig_atomic_t isSilencingReplies = 0;
volatile std::sig_atomic_t isDelaying = 0;

constexpr int pollMs = 20;
constexpr int delayMicroseconds = 120'000; // longer than one attempt to start a task
constexpr int backlog = 128;
constexpr std::size_t bufferBytes = 64 * 1024;

/** A client's connection and the one that the relay opened to the target for it. */
struct relayed_connection
{
    int clientSocket = -1;
    int serverSocket = -1;
    bool isSilent = false;
    bool isClosed = false;
};

/** @param text  PORT or IP:PORT; without an IP address, 127.0.0.1 is used */
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

/** Forwards the data that has arrived. Data that must be discarded is read, but not forwarded. */
void move(relayed_connection &connection, int from, int to, bool isReply)
{
    static char buffer[bufferBytes];
    const auto size = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    const bool isDiscarded =
        connection.isSilent || isSilencingAll != 0 || (isReply && isSilencingReplies != 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        connection.isClosed = true;
    } else if (size > 0 && !isDiscarded) {
        connection.isClosed = !sendAll(to, buffer, static_cast<std::size_t>(size));
    }
}

/** Closes both sockets without lingering, so that the peers see a connection reset. */
void resetConnection(const relayed_connection &connection)
{
    const linger immediately {1, 0};
    for (const int descriptor : {connection.clientSocket, connection.serverSocket}) {
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        close(descriptor);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: filbert-relay [IP:]PORT [IP:]TARGET-PORT\n";
        return 2;
    }
    std::signal(SIGUSR1, [](int) { mustSilenceConnections = 1; });
    std::signal(SIGUSR2, [](int) { isSilencingAll = 1 - isSilencingAll; });
    std::signal(SIGHUP, [](int) { mustResetConnections = 1; });
    std::signal(SIGALRM, [](int) { isSilencingReplies = 1 - isSilencingReplies; });
    std::signal(SIGVTALRM, [](int) { isDelaying = 1 - isDelaying; });
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto listenAddress = endpointOf(argv[1]);
    const auto targetAddress = endpointOf(argv[2]);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&listenAddress), sizeof listenAddress)
            != 0
        || listen(listener, backlog) != 0) {
        std::cerr << "cannot listen on the given address\n";
        return 1;
    }
    std::vector<relayed_connection> connections;
    while (true) {
        std::vector<pollfd> pollEntries {{listener, POLLIN, 0}};
        for (const auto &connection : connections) {
            pollEntries.push_back({connection.clientSocket, POLLIN, 0});
            pollEntries.push_back({connection.serverSocket, POLLIN, 0});
        }
        poll(pollEntries.data(), pollEntries.size(), pollMs);
        if (isDelaying != 0) {
            usleep(delayMicroseconds);
        }
        if (mustResetConnections != 0) {
            mustResetConnections = 0;
            std::for_each(connections.begin(), connections.end(), resetConnection);
            connections.clear();
            continue;
        }
        if (mustSilenceConnections != 0) {
            mustSilenceConnections = 0;
            for (auto &connection : connections) {
                connection.isSilent = true;
            }
        }
        for (std::size_t i = 0; i < connections.size(); ++i) {
            auto &connection = connections[i];
            if (pollEntries[1 + 2 * i].revents != 0) {
                move(connection, connection.clientSocket, connection.serverSocket, false);
            }
            if (pollEntries[2 + 2 * i].revents != 0) {
                move(connection, connection.serverSocket, connection.clientSocket, true);
            }
            if (connection.isClosed) {
                close(connection.clientSocket);
                close(connection.serverSocket);
            }
        }
        std::erase_if(connections, [](const auto &each) { return each.isClosed; });
        if ((pollEntries[0].revents & POLLIN) != 0) {
            relayed_connection opened;
            opened.clientSocket = accept(listener, nullptr, nullptr);
            opened.serverSocket = socket(AF_INET, SOCK_STREAM, 0);
            if (connect(opened.serverSocket, reinterpret_cast<const sockaddr *>(&targetAddress),
                        sizeof targetAddress)
                != 0) {
                close(opened.clientSocket);
                close(opened.serverSocket);
            } else {
                connections.push_back(opened);
            }
        }
    }
}
