#pragma once

#include "event_loop.h"
#include "http_types.h"
#include "request_limiter.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace filbert {

/** An HTTP/1.1 server. Requests are answered asynchronously, by their id.

    @code http_server server {loop, "127.0.0.1", 8080, {}, {}, onRequest}; @endcode
*/
class http_server : public limited_server
{
public:
    using request_handler = std::function<void(http_request &&)>;

    /** Starts to listen. isListening() tells whether that succeeded.

        @param loop         the event loop; must outlive the server
        @param address      IP address of the network interface
        @param port         0 lets the system choose a free port, see port()
        @param limits       limits on what callers may send
        @param tls          certificate and private key; empty for plain HTTP
        @param onRequest    called once for each complete request, which respond() answers
        @param headerNames  additional header fields to read, in lower case
    */
    http_server(event_loop &loop, const std::string &address, int port, http_limits limits,
                const tls_files &tls, request_handler onRequest,
                const std::vector<std::string> &headerNames = {});
    ~http_server() override;
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Answers a request. Does nothing if the caller has disconnected.

        @param id        id of the request
        @param response  the complete response
    */
    void respond(std::uint64_t id, http_response &&response);

    /** Sets what the program holds for a request that it has not answered yet.
        @return whether the process has room for that; otherwise the program is to refuse it */
    bool holdUntilAnswered(std::uint64_t id, std::size_t bytes);

    /** Refuses a request for a limit of the process. Called by the limiter. */
    void refuseRequest(std::uint64_t id, limit_reason reason) override;

    /** Closes each connection after its next response, so that callers move to other servers. */
    void closeAfterResponses() { isClosing = true; }

    /** @return the number of requests whose response has not been written out yet */
    std::size_t pendingRequests() const { return exchanges.size(); }

    /** @return whether all responses have been written out */
    bool isIdle() const { return exchanges.empty(); }

    /** Reloads the certificate files, for new connections. @return whether that succeeded */
    bool reloadCertificate();

    int port() const { return listenPort; }
    bool isListening() const { return vhost != nullptr; }

private:
    struct exchange;
    struct connection;

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    int onHeaders(lws *wsi, connection *user, const char *uri, std::size_t length);
    int onBody(connection *user, const char *data, std::size_t length);
    int onRequestComplete(lws *wsi, connection *user);
    int onWritable(lws *wsi, connection *user);
    int writeHeaders(lws *wsi, connection *user, exchange &current);
    int writeBody(lws *wsi, connection *user, exchange &current);
    int completeExchange(lws *wsi, connection *user, const exchange &current);
    static int onConnectionEvent(lws *wsi, lws_callback_reasons reason, void *in);
    void reject(std::uint64_t id, exchange &current, error_kind kind,
                const std::string &detail = {});
    void eraseExchange(std::uint64_t id);
    void removeExchange(connection *user);

    lws_protocols protocols[2];
    lws_vhost *vhost = nullptr;
    event_loop &loop;
    http_limits limits;
    tls_files tls;
    std::string address;
    request_handler onRequest;
    std::vector<std::string> headerNames;
    std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> exchanges;
    void *tlsContext = nullptr;
    int listenPort = 0;
    bool isClosing = false;
};

/** Creates the response for an error, as problem details (RFC 7807).

    @param kind        the error
    @param detail      explanation for a person
    @param retryAfter  when to try again; 0 = not stated
*/
http_response problemResponse(error_kind kind, const std::string &detail,
                              milliseconds retryAfter = {});

} // namespace filbert
