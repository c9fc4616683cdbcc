#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/** Plain blocking HTTP/1.1 for the stand-ins of the review. */
namespace review {

using namespace std::chrono_literals;

/** A request or a response. */
struct http_message
{
    std::string method;
    std::string path;
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

/** A TCP connection; closed by the destructor. */
class connection
{
public:
    explicit connection(int descriptor)
        : descriptor {descriptor}
    {
    }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /** @param endpoint  IP:port
        @return whether the connection was opened in time */
    bool open(const std::string &endpoint, std::chrono::milliseconds timeout);

    bool sendText(const std::string &text) const;

    /** @return the next message, or nothing if none came whole before the deadline */
    std::optional<http_message> receive(std::chrono::steady_clock::time_point deadline);

    int fd() const { return descriptor; }

private:
    int descriptor;
    std::string buffer;
};

/** Opens a listening socket. @return its descriptor, or -1 */
int listenAt(const std::string &endpoint);

std::string requestText(const http_message &request, const std::string &host);
std::string responseText(int status, const std::string &body);

/** Sends a request on a new connection.
    @return the response, or nothing if there was none in time */
std::optional<http_message> callOnce(const std::string &endpoint, const http_message &request,
                                     const std::string &host, std::chrono::milliseconds timeout);

/** @return the time of day in milliseconds */
std::int64_t wallMs();

} // namespace review
