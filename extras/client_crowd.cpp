/** @file filbert-client-crowd: opens many connections to an HTTP port of this system and misuses
    them, for tests of what uncontrolled clients can make a process hold.

    Usage: filbert-client-crowd IP:PORT KIND CONNECTIONS BYTES METHOD PATH

    Prints "settled" once no connection has made progress for a while, then keeps the connections
    that are still open until its standard input ends.
*/

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::size_t pieceBytes = 4 * 1024; // written at once by clients that send in pieces
constexpr std::size_t chunkBytes = 64 * 1024; // written at once by the others
constexpr int smallReceiveBuffer = 4 * 1024; // of clients that never read their answers
constexpr std::size_t headLineBytes = 64; // of heads that never end
constexpr int pollMs = 100;
// Without progress for this long, the crowd has sent all that the process takes.
constexpr std::chrono::milliseconds settleTime {2'000};
constexpr std::chrono::seconds longestTime {60}; // of a crowd that never settles

struct crowd_plan
{
    sockaddr_in address {};
    std::string kind;
    std::size_t connections = 0;
    std::size_t bytes = 0; // of each body, head or series of requests
    std::string method;
    std::string path;
};

struct client
{
    int descriptor = -1;
    std::size_t sent = 0;
    bool isConnected = false;
};

std::string headOf(const crowd_plan &plan, const std::string &extra)
{
    return plan.method + " " + plan.path + " HTTP/1.1\r\nHost: cell.example\r\n" + extra;
}

std::string withLength(const crowd_plan &plan, std::size_t length)
{
    return headOf(plan, "Content-Length: " + std::to_string(length) + "\r\n\r\n");
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

/** Returns all that each client of the crowd sends. */
std::string payloadOf(const crowd_plan &plan)
{
    const std::string body(plan.bytes, 'x');
    if (plan.kind == "whole" || plan.kind == "pieces") {
        return withLength(plan, plan.bytes) + body;
    }
    if (plan.kind == "short") {
        return withLength(plan, plan.bytes) + body.substr(1);
    }
    if (plan.kind == "announced") { // the announced length is never sent
        return withLength(plan, std::size_t {1} << 30) + body;
    }
    if (plan.kind == "sent") { // without an announced length
        return headOf(plan, "\r\n") + body;
    }
    if (plan.kind == "chunked") {
        return headOf(plan, "Transfer-Encoding: chunked\r\n\r\n")
            + repeated("1000\r\n" + std::string(0x1000, 'x') + "\r\n", plan.bytes);
    }
    if (plan.kind == "head" || plan.kind == "openhead") {
        return headOf(plan,
                      repeated("X-A: " + std::string(headLineBytes, 'x') + "\r\n", plan.bytes));
    }
    return plan.kind == "unread" ? repeated(headOf(plan, "\r\n"), plan.bytes) : std::string {};
}

int openConnection(const crowd_plan &plan)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor >= 0 && plan.kind == "unread") {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer,
                   sizeof smallReceiveBuffer);
    }
    if (descriptor >= 0) {
        // Ends later, as the socket does not block; a failure shows when it is polled.
        (void)connect(descriptor, reinterpret_cast<const sockaddr *>(&plan.address),
                      sizeof plan.address);
    }
    return descriptor;
}

/** Counts what becomes of the clients, for the output of the test. */
struct crowd_totals
{
    std::size_t closed = 0;
    std::map<std::string, std::size_t> answers; // by status
};

void closeClient(client &current, crowd_totals &totals)
{
    close(current.descriptor);
    current.descriptor = -1;
    ++totals.closed;
}

/** @return whether anything was read; the client is closed with its connection */
bool readAnswer(client &current, crowd_totals &totals)
{
    char buffer[4096];
    const auto count = recv(current.descriptor, buffer, sizeof buffer, 0);
    if (count > 0) {
        const std::string text(buffer, static_cast<std::size_t>(count));
        if (text.starts_with("HTTP/1.1 ")) {
            ++totals.answers[text.substr(9, 3)];
        }
        return true;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    closeClient(current, totals);
    return true;
}

/** @return whether anything was sent; the client is closed with its connection */
bool sendMore(client &current, const std::string &payload, std::size_t step, crowd_totals &totals)
{
    const auto length = std::min(step, payload.size() - current.sent);
    if (length == 0) {
        return false;
    }
    const auto count =
        send(current.descriptor, payload.data() + current.sent, length, MSG_NOSIGNAL);
    if (count > 0) {
        current.sent += static_cast<std::size_t>(count);
        return true;
    }
    if (errno == EAGAIN || errno == EINTR) {
        return false;
    }
    closeClient(current, totals);
    return true;
}

/** Polls all clients once. @return whether any made progress */
bool serveClients(const crowd_plan &plan, const std::string &payload, std::vector<client> &clients,
                  crowd_totals &totals)
{
    std::vector<pollfd> polled;
    std::vector<client *> owners;
    for (auto &current : clients) {
        if (current.descriptor >= 0) {
            const bool isSending = !current.isConnected || current.sent < payload.size();
            const short reading = plan.kind == "unread" ? 0 : POLLIN;
            polled.push_back(
                {current.descriptor, static_cast<short>(reading | (isSending ? POLLOUT : 0)), 0});
            owners.push_back(&current);
        }
    }
    poll(polled.data(), polled.size(), pollMs);
    bool hasProgress = false;
    const auto step = plan.kind == "pieces" ? pieceBytes : chunkBytes;
    for (std::size_t i = 0; i < polled.size(); ++i) {
        auto &current = *owners[i];
        if ((polled[i].revents & POLLOUT) != 0) {
            hasProgress = hasProgress || !current.isConnected;
            current.isConnected = true;
            hasProgress = sendMore(current, payload, step, totals) || hasProgress;
        }
        const bool isReadable = (polled[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0;
        if (current.descriptor >= 0 && isReadable && plan.kind != "unread") {
            hasProgress = readAnswer(current, totals) || hasProgress;
        } else if (current.descriptor >= 0 && (polled[i].revents & (POLLERR | POLLHUP)) != 0) {
            closeClient(current, totals);
        }
    }
    return hasProgress;
}

void printTotals(const std::vector<client> &clients, const crowd_totals &totals)
{
    std::cout << "settled clients=" << clients.size() << " closed=" << totals.closed;
    for (const auto &[status, count] : totals.answers) {
        std::cout << " status_" << status << "=" << count;
    }
    std::cout << std::endl;
}

void runCrowd(const crowd_plan &plan)
{
    const auto payload = payloadOf(plan);
    crowd_totals totals;
    std::vector<client> clients(plan.connections);
    for (auto &current : clients) {
        current.descriptor = openConnection(plan);
    }
    const auto startedAt = clock_type::now();
    auto lastProgressAt = startedAt;
    auto now = startedAt;
    while (now - lastProgressAt < settleTime && now - startedAt < longestTime) {
        if (serveClients(plan, payload, clients, totals)) {
            lastProgressAt = clock_type::now();
        } else if (std::all_of(clients.begin(), clients.end(),
                               [](const auto &current) { return current.descriptor < 0; })) {
            break;
        }
        now = clock_type::now();
    }
    printTotals(clients, totals);
    std::string line;
    while (std::getline(std::cin, line)) { }
}

void allowManyDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 7) {
        std::cerr << "usage: filbert-client-crowd IP:PORT KIND CONNECTIONS BYTES METHOD PATH\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    allowManyDescriptors();
    crowd_plan plan;
    const std::string endpoint = argv[1];
    const auto colon = endpoint.find(':');
    plan.address.sin_family = AF_INET;
    plan.address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(endpoint.substr(colon + 1).c_str())));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &plan.address.sin_addr);
    plan.kind = argv[2];
    plan.connections = static_cast<std::size_t>(std::atoi(argv[3]));
    plan.bytes = static_cast<std::size_t>(std::atol(argv[4]));
    plan.method = argv[5];
    plan.path = argv[6];
    runCrowd(plan);
    return 0;
}
