#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** @return the time since the process started, in ms */
std::int64_t nowMs();

/** @return the wall clock, in ms since 1970 */
std::int64_t wallMs();

void sleepMs(std::int64_t duration);

using header_list = std::vector<std::pair<std::string, std::string>>;

/** An HTTP request as a stand-in receives it. */
struct http_request
{
    std::string method;
    std::string path;
    header_list headers; // names in lower case
    std::string body;

    /** @return the value of a header, or an empty text */
    std::string header(const std::string &name) const;
};

/** An HTTP response; a status of 0 says that there was none. */
struct http_response
{
    int status = 0;
    std::string body;
};

/** Makes one call on a connection of its own.
    @param endpoint   IP:port
    @param timeoutMs  time for the whole call
*/
http_response callHttp(const std::string &endpoint, const std::string &method,
                       const std::string &path, const header_list &headers, const std::string &body,
                       std::int64_t timeoutMs);

/** An HTTP/1.1 server with one thread for each connection. */
class http_listener
{
public:
    /** Handles a request. Without a result, the request is never answered. */
    using handler = std::function<std::optional<http_response>(const http_request &)>;

    http_listener(const std::string &endpoint, handler onRequest);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    /** @return whether the port could be opened */
    bool isListening() const { return listenSocket >= 0; }

private:
    void acceptConnections();
    void serve(int connection);

    handler onRequest;
    int listenSocket = -1;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::set<int> connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace review
