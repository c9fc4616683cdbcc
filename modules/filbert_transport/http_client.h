#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbert {

/** A request to an HTTP server. */
struct http_call
{
    std::uint64_t id = 0; // for cancel(); 0 = cannot be cancelled
    std::string endpoint; // IP:port
    std::string method = "POST";
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout {5'000}; // includes the wait for a connection
    // A server may close an idle connection at the moment at which it is reused.
    bool needsNewConnection = false;
    milliseconds responseTimeout; // from the time of sending; 0 = only the timeout applies
};

/** The timeout to set in libwebsockets for a call. It lies past the deadline of the call, which
    http_client enforces itself.

    It is never negative, even long past the deadline after the host was suspended: libwebsockets
    takes negative values as commands and closes connections from within the call.

    @return the timeout in seconds
*/
int libraryTimeoutSeconds(time_point deadline, time_point now);

/** An HTTP/1.1 client with a limited number of persistent connections to each endpoint.

    The handler of a call is invoked exactly once, with a complete response or with an error that
    tells whether the server may have seen the request: with ConnectionFailed no byte of it was
    sent, with TargetLost and Timeout the server may have read it.

    After the event loop has stalled, calls end with Timeout only once their sockets were served
    again: the response may have arrived meanwhile.
*/
class http_client
{
public:
    using response_handler = std::function<void(std::error_code, http_response &&)>;

    /** @param loop            the event loop; must outlive the client
        @param maxConnections  maximum number of connections to one endpoint; further calls wait
        @param usesTls         whether the endpoints use TLS
        @param trustedFile     PEM file of trusted certificates; empty = those of the system
    */
    http_client(event_loop &loop, int maxConnections, bool usesTls = false,
                const std::string &trustedFile = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Sends a request. It ends with ConnectionFailed if its endpoint is not an IP address with a
        port, or if its path or a header has bytes that are not UTF-8, or control characters.

        @param call        the request
        @param onResponse  called exactly once, never from within send()
    */
    void send(http_call &&call, response_handler onResponse);

    /** Ends a call immediately, with ConnectionFailed if no byte of it was sent and with TargetLost
        otherwise. In the latter case, idle connections to its endpoint are not reused for the
        suspect period, since they may be broken as well.

        @param id  of the call; ignored if the call has already ended
    */
    void cancel(std::uint64_t id);

    /** Changes the maximum number of connections to one endpoint. @param count at least 1 */
    void setMaxConnections(int count);

    /** Sets for how long idle connections to an endpoint are not reused after a call to it got no
        response.

        With the default, the time for which idle connections are kept, none of them is ever used
        again. With a shorter period the working ones stay in use, but each broken one costs a
        timeout. */
    void setSuspectPeriod(milliseconds period) { suspectPeriod = period; }

    /** @return the number of calls that have not ended */
    std::size_t pendingCalls() const { return activeCalls.size(); }

private:
    struct pending_call;
    struct endpoint_state;

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    void start(const std::shared_ptr<pending_call> &call);
    void startWaitingCalls(endpoint_state &endpoint);
    int appendHeaders(lws *wsi, pending_call &call, unsigned char **position, std::size_t room);
    int writeBody(lws *wsi, pending_call &call);
    static void finish(pending_call &call, std::error_code error);
    static void abandon(pending_call &call, std::error_code error);
    void closeConnections();
    bool mustSkipDeadlineCheck(time_point now);
    void checkDeadlines();

    lws_protocols protocols[2];
    event_loop &loop;
    std::vector<lws_vhost *> vhosts; // one for each connection slot, see start()
    int maxConnections;
    bool usesTls;
    std::string trustedFile;
    milliseconds suspectPeriod {15'000}; // idle connections are kept for this long
    event_limit refusalLimit; // of log lines
    time_point lastDeadlineCheck;
    bool wasCheckSkipped = false;
    std::unordered_set<lws *> connectionsToClose; // after a response; the library may do it first
    std::unordered_map<std::string, std::unique_ptr<endpoint_state>> endpoints;
    std::unordered_map<pending_call *, std::shared_ptr<pending_call>> activeCalls;
};

} // namespace filbert
