#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

/** One call of another HTTP server. */
struct http_call
{
    std::uint64_t id = 0; // for cancel(); 0 = it is never cancelled
    std::string endpoint; // IP:port
    std::string method = "POST";
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout {5'000};
    bool needsNewConnection = false; // a kept one may be closed by the other end as it is used
};

/** How long the library may wait for an answer: beyond the call's own deadline, which counts.

    Never negative, also long past the deadline after a sleep of the host: negative values are
    commands to the library, which then closes connections from within.
    @return seconds
*/
int libraryTimeoutSeconds(time_point deadline, time_point now);

/** An HTTP/1.1 client on the loop, with a bounded number of kept connections to each endpoint.

    Every call ends with exactly one call of its handler: a whole answer, or an error that says what
    is certain: ConnectionFailed (not a byte of the request left) or TargetLost and Timeout (it may
    have been read).
*/
class http_client
{
public:
    using handler = std::function<void(std::error_code, http_response &&)>;

    /** @param loop         runs it; outlives the client
        @param connections  the most at one time to one endpoint; calls beyond wait
        @param usesTls      whether endpoints speak TLS
        @param trustedFile  certificates to trust; empty = the system's
    */
    http_client(event_loop &loop, int connections, bool usesTls = false,
                const std::string &trustedFile = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** @param call what to send @param onAnswer called once, never from inside send() */
    void send(http_call &&call, handler onAnswer);

    /** Ends a call at once, with ConnectionFailed if not a byte of it has left, else TargetLost,
       and takes new connections to its endpoint for a while: the kept ones may be as silent as its
       was.
        @param id of the call; one that has ended already is passed over */
    void cancel(std::uint64_t id);

    /** Sets how many connections an endpoint gets from now on. @param connections at least 1 */
    void setMaxConnections(int connections);

    /** Sets how long kept connections to an endpoint are passed over after a call on one of them
       got no answer. As long as they are kept (the default), none is ever used again; shorter,
       those that are silent too cost a time-out each, and the others stay in use. */
    void setSuspectPeriod(milliseconds span) { doubtSpan = span; }

    /** @return calls that have not ended */
    std::size_t pendingCalls() const { return live.size(); }

private:
    struct exchange;
    struct endpoint_state;

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    void start(const std::shared_ptr<exchange> &call);
    void startWaiting(endpoint_state &endpoint);
    int appendHeaders(lws *wsi, exchange &call, unsigned char **position, std::size_t room);
    int writeBody(lws *wsi, exchange &call);
    static void finish(exchange &call, std::error_code error);
    static void abandon(exchange &call, std::error_code error);
    void checkDeadlines();

    lws_protocols protocols[2];
    event_loop &loop;
    std::vector<lws_vhost *> vhosts; // one for each connection to an endpoint, see send()
    int connections;
    bool usesTls;
    std::string trustedFile;
    milliseconds doubtSpan {15'000}; // connections are kept for that long
    std::unordered_map<std::string, std::unique_ptr<endpoint_state>> endpoints;
    std::unordered_map<exchange *, std::shared_ptr<exchange>> live;
};

} // namespace filbert
