#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t readBytes = 16 * 1024;
constexpr int queuedConnections = 64;
constexpr int idleTimeoutMs = 60'000;
constexpr auto threadPollPeriod = std::chrono::milliseconds {5};

std::int64_t steadyMs()
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return duration_cast<std::chrono::milliseconds>(now).count();
}

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
    return name;
}

void closeWithReset(int connection)
{
    const linger now {1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(connection);
}

bool sendAll(int connection, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads until a whole message is there. @return its size, or 0 if the connection or time ended */
std::size_t readMessage(int connection, std::string *text, std::int64_t deadline)
{
    while (true) {
        const auto end = text->find("\r\n\r\n");
        if (end != std::string::npos) {
            auto head = text->substr(0, end);
            std::transform(head.begin(), head.end(), head.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto field = head.find("content-length:");
            const auto length = field == std::string::npos
                ? 0
                : std::strtoul(head.c_str() + field + sizeof "content-length:" - 1, nullptr, 10);
            const auto size = end + 4 + length;
            if (text->size() >= size) {
                return size;
            }
        }
        const auto remaining = deadline - steadyMs();
        pollfd waiting {connection, POLLIN, 0};
        if (remaining <= 0 || poll(&waiting, 1, static_cast<int>(remaining)) <= 0) {
            return 0;
        }
        std::string part(readBytes, '\0');
        const auto count = recv(connection, part.data(), part.size(), 0);
        if (count <= 0) {
            return 0;
        }
        text->append(part, 0, static_cast<std::size_t>(count));
    }
}

request parseRequest(const std::string &text)
{
    request message;
    const auto end = text.find("\r\n\r\n");
    const auto lineEnd = text.find("\r\n");
    const auto line = text.substr(0, lineEnd);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    message.method = line.substr(0, first);
    message.path = line.substr(first + 1, second - first - 1);
    auto from = lineEnd + 2;
    while (from < end) {
        const auto to = std::min(text.find("\r\n", from), end);
        const auto colon = text.find(':', from);
        if (colon < to) {
            auto name = text.substr(from, colon - from);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto value = text.find_first_not_of(' ', colon + 1);
            message.headers[name] = text.substr(value, to - value);
        }
        from = to + 2;
    }
    message.body = text.substr(end + 4);
    return message;
}

} // namespace

server::server(std::string ip, int port, handler onRequest)
    : ip {std::move(ip)}
    , port {port}
    , onRequest {std::move(onRequest)}
{
}

server::~server()
{
    stop();
}

void server::start()
{
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto name = socketAddress(ip, port);
    if (bind(opened, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
        || listen(opened, queuedConnections) != 0) {
        close(opened);
        return;
    }
    listener = opened;
    acceptor = std::thread {[this, opened] { acceptConnections(opened); }};
}

void server::stop()
{
    const int opened = listener.exchange(-1);
    if (opened >= 0) {
        shutdown(opened, SHUT_RDWR);
        acceptor.join();
        close(opened);
    }
    {
        const std::lock_guard lock {mutex};
        for (const int connection : connections) {
            shutdown(connection, SHUT_RDWR);
        }
    }
    while (threads > 0) {
        std::this_thread::sleep_for(threadPollPeriod);
    }
}

void server::acceptConnections(int opened)
{
    while (true) {
        const int connection = accept4(opened, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        const int yes = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        {
            const std::lock_guard lock {mutex};
            connections.insert(connection);
        }
        ++threads;
        std::thread {[this, connection] { serve(connection); }}.detach();
    }
}

void server::serve(int connection)
{
    std::string text;
    while (listener >= 0) {
        const auto size = readMessage(connection, &text, steadyMs() + idleTimeoutMs);
        if (size == 0) {
            break;
        }
        const auto answer = onRequest(parseRequest(text.substr(0, size)));
        text.erase(0, size);
        if (listener < 0 || answer.status == 0) {
            break;
        }
        const auto head = "HTTP/1.1 " + std::to_string(answer.status)
            + " -\r\ncontent-type: application/json\r\ncontent-length: "
            + std::to_string(answer.body.size()) + "\r\n\r\n";
        if (!sendAll(connection, head + answer.body)) {
            break;
        }
    }
    {
        const std::lock_guard lock {mutex};
        connections.erase(connection);
        closeWithReset(connection);
    }
    --threads;
}

response call(const std::string &endpoint, const request &message, int timeoutMs)
{
    const auto deadline = steadyMs() + timeoutMs;
    const auto colon = endpoint.find(':');
    const auto name =
        socketAddress(endpoint.substr(0, colon), std::atoi(endpoint.c_str() + colon + 1));
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // The outcome comes with poll(), since the socket doesn't block.
    static_cast<void>(connect(connection, reinterpret_cast<const sockaddr *>(&name), sizeof name));
    pollfd waiting {connection, POLLOUT, 0};
    response answer;
    if (poll(&waiting, 1, timeoutMs) > 0 && (waiting.revents & (POLLERR | POLLHUP)) == 0) {
        auto text = message.method + " " + message.path + " HTTP/1.1\r\ncontent-length: "
            + std::to_string(message.body.size()) + "\r\ncontent-type: application/json\r\n";
        if (!message.headers.contains("host")) {
            text += "host: " + endpoint + "\r\n";
        }
        for (const auto &[field, value] : message.headers) {
            text.append(field).append(": ").append(value).append("\r\n");
        }
        std::string received;
        if (sendAll(connection, text + "\r\n" + message.body)) {
            const auto size = readMessage(connection, &received, deadline);
            if (size > 0) {
                answer.status = std::atoi(received.c_str() + received.find(' ') + 1);
                answer.body = received.substr(received.find("\r\n\r\n") + 4);
            }
        }
    }
    close(connection);
    return answer;
}

} // namespace review
