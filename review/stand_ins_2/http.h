#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct response
{
    int status = 0; // 0 = no complete response
    std::string body;
};

/** A small HTTP/1.1 server with one thread for each connection.

    It can go down and up again, as the process of a worker that crashes and is started again. */
class server
{
public:
    using handler = std::function<response(const request &)>;

    server(std::string ip, int port, handler onRequest);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    /** Listens and serves. */
    void start();

    /** Resets all connections and stops to listen. */
    void stop();

private:
    void acceptConnections(int listener);
    void serve(int connection);

    std::string ip;
    int port;
    handler onRequest;
    std::atomic<int> listener {-1};
    std::mutex mutex;
    std::set<int> connections;
    std::atomic<int> threads {0};
    std::thread acceptor;
};

/** Sends one request on a connection of its own. */
response call(const std::string &endpoint, const request &message, int timeoutMs);

} // namespace review
