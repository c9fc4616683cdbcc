#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readBytes = 64 << 10;
constexpr int acceptPeriodMs = 50;

sockaddr_in addressOf(const std::string &endpoint)
{
    const auto colon = endpoint.find(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int connection, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Waits until a socket can be read. @return whether it can, before the deadline */
bool waitReadable(int connection, std::int64_t deadlineMs)
{
    const auto remaining = deadlineMs - nowMs();
    pollfd entry {connection, POLLIN, 0};
    return remaining > 0 && ::poll(&entry, 1, static_cast<int>(remaining)) > 0;
}

/** Reads more bytes into the buffer. @return whether there were any */
bool receiveMore(int connection, std::string *buffer)
{
    char chunk[readBytes];
    const auto count = ::recv(connection, chunk, sizeof chunk, 0);
    if (count <= 0) {
        return false;
    }
    buffer->append(chunk, static_cast<std::size_t>(count));
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/** Splits the lines after the first one of a message's head into headers. */
header_list parseHeaders(const std::string &head)
{
    header_list headers;
    auto begin = head.find("\r\n");
    while (begin != std::string::npos && begin + 2 < head.size()) {
        begin += 2;
        const auto end = std::min(head.find("\r\n", begin), head.size());
        const auto colon = head.find(':', begin);
        if (colon != std::string::npos && colon < end) {
            const auto value = std::min(head.find_first_not_of(' ', colon + 1), end);
            headers.emplace_back(lowerCase(head.substr(begin, colon - begin)),
                                 head.substr(value, end - value));
        }
        begin = end < head.size() ? end : std::string::npos;
    }
    return headers;
}

std::string headerIn(const header_list &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const auto &header) { return header.first == name; });
    return found == headers.end() ? std::string {} : found->second;
}

/** Moves one whole message out of the buffer, if there is one. */
bool takeMessage(std::string *buffer, std::string *firstLine, header_list *headers,
                 std::string *body)
{
    const auto headEnd = buffer->find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    const auto head = buffer->substr(0, headEnd);
    *headers = parseHeaders(head);
    const auto length = headerIn(*headers, "content-length");
    const auto bodyBytes = length.empty() ? 0 : std::stoul(length);
    const auto bodyBegin = headEnd + 4;
    if (buffer->size() < bodyBegin + bodyBytes) {
        return false;
    }
    *firstLine = head.substr(0, head.find("\r\n"));
    *body = buffer->substr(bodyBegin, bodyBytes);
    buffer->erase(0, bodyBegin + bodyBytes);
    return true;
}

} // namespace

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds {duration});
}

std::string http_request::header(const std::string &name) const
{
    return headerIn(headers, name);
}

http_response callHttp(const std::string &endpoint, const std::string &method,
                       const std::string &path, const header_list &headers, const std::string &body,
                       std::int64_t timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    const auto address = addressOf(endpoint);
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    http_response response;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    std::string buffer;
    std::string firstLine;
    header_list responseHeaders;
    if (::connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(connection, text)) {
        bool isComplete = false;
        while (!isComplete && waitReadable(connection, deadline)
               && receiveMore(connection, &buffer)) {
            isComplete = takeMessage(&buffer, &firstLine, &responseHeaders, &response.body);
        }
        if (isComplete) {
            response.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
        }
    }
    ::close(connection);
    return response;
}

http_listener::http_listener(const std::string &endpoint, handler requestHandler)
    : onRequest {std::move(requestHandler)}
{
    const auto address = addressOf(endpoint);
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    constexpr int backlog = 128;
    if (::bind(opened, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(opened, backlog) != 0) {
        ::close(opened);
        return;
    }
    listenSocket = opened;
    acceptor = std::thread {[this] { acceptConnections(); }};
}

http_listener::~http_listener()
{
    if (listenSocket < 0) {
        return;
    }
    isStopping = true;
    acceptor.join();
    ::close(listenSocket);
    {
        const std::lock_guard lock {mutex};
        for (const int connection : connections) {
            ::shutdown(connection, SHUT_RDWR);
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

void http_listener::acceptConnections()
{
    while (!isStopping) {
        if (!waitReadable(listenSocket, nowMs() + acceptPeriodMs)) {
            continue;
        }
        const int connection = ::accept4(listenSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        const int yes = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard lock {mutex};
        connections.insert(connection);
        threads.emplace_back([this, connection] { serve(connection); });
    }
}

void http_listener::serve(int connection)
{
    std::string buffer;
    bool isOpen = true;
    while (isOpen && !isStopping) {
        http_request request;
        std::string firstLine;
        if (!takeMessage(&buffer, &firstLine, &request.headers, &request.body)) {
            isOpen = receiveMore(connection, &buffer);
            continue;
        }
        const auto methodEnd = firstLine.find(' ');
        request.method = firstLine.substr(0, methodEnd);
        request.path = firstLine.substr(methodEnd + 1, firstLine.rfind(' ') - methodEnd - 1);
        if (const auto response = onRequest(request)) {
            isOpen =
                sendAll(connection,
                        "HTTP/1.1 " + std::to_string(response->status)
                            + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(response->body.size()) + "\r\n\r\n" + response->body);
        }
    }
    const std::lock_guard lock {mutex};
    connections.erase(connection);
    ::close(connection);
}

} // namespace review
