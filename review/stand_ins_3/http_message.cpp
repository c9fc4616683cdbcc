#include "http_message.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in addressOf(const std::string &endpoint)
{
    const auto colon = endpoint.find(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(endpoint.substr(colon + 1).c_str())));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

int remainingMs(std::chrono::steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_message parseHead(const std::string &head)
{
    http_message message;
    std::size_t position = head.find("\r\n");
    const std::string first = head.substr(0, position);
    const auto space = first.find(' ');
    const auto secondSpace = first.find(' ', space + 1);
    if (first.starts_with("HTTP/")) {
        message.status = std::atoi(first.substr(space + 1).c_str());
    } else {
        message.method = first.substr(0, space);
        message.path = first.substr(space + 1, secondSpace - space - 1);
    }
    while (position != std::string::npos && position + 2 < head.size()) {
        const auto end = head.find("\r\n", position + 2);
        const auto line = head.substr(position + 2, end - position - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[toLower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        position = end;
    }
    return message;
}

} // namespace

connection::~connection()
{
    if (descriptor >= 0) {
        close(descriptor);
    }
}

bool connection::open(const std::string &endpoint, std::chrono::milliseconds timeout)
{
    descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = addressOf(endpoint);
    const int result =
        connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0) {
        pollfd waiting {descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (poll(&waiting, 1, static_cast<int>(timeout.count())) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            return false;
        }
    }
    fcntl(descriptor, F_SETFL, 0); // blocking from here on
    return true;
}

bool connection::sendText(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto written = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

std::optional<http_message> connection::receive(std::chrono::steady_clock::time_point deadline)
{
    while (true) {
        const auto headEnd = buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            auto message = parseHead(buffer.substr(0, headEnd + 2));
            const auto length = message.headers.find("content-length");
            const auto bodyBytes = length == message.headers.end()
                ? std::size_t {0}
                : static_cast<std::size_t>(std::atoll(length->second.c_str()));
            if (buffer.size() >= headEnd + 4 + bodyBytes) {
                message.body = buffer.substr(headEnd + 4, bodyBytes);
                buffer.erase(0, headEnd + 4 + bodyBytes);
                return message;
            }
        }
        pollfd waiting {descriptor, POLLIN, 0};
        if (poll(&waiting, 1, remainingMs(deadline)) != 1) {
            return std::nullopt;
        }
        char chunk[16 * 1024];
        const auto received = recv(descriptor, chunk, sizeof chunk, 0);
        if (received <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk, static_cast<std::size_t>(received));
    }
}

int listenAt(const std::string &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = addressOf(endpoint);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(descriptor, 128) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string requestText(const http_message &request, const std::string &host)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
        + request.body;
}

std::string responseText(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<http_message> callOnce(const std::string &endpoint, const http_message &request,
                                     const std::string &host, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    connection link {-1};
    if (!link.open(endpoint, timeout) || !link.sendText(requestText(request, host))) {
        return std::nullopt;
    }
    return link.receive(deadline);
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace review
