#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace filbert {

/** An HTTP/1.1 server on the loop; each request is answered later by its id.

    @code http_server server {loop, "127.0.0.1", 8080, {}, {}, handler}; @endcode
*/
class http_server
{
public:
    using handler = std::function<void(http_request &&)>;

    /** Starts to listen.

        @param loop     runs it; outlives the server
        @param address  IP of the interface
        @param port     0 lets the system choose, see port()
        @param limits   bounds on what callers send
        @param tls      certificate and key, or empty
        @param onRequest called once for each whole request; answer with respond()
        @param headerNames  further headers to hand on, in lower case
    */
    http_server(event_loop &loop, const std::string &address, int port, http_limits limits,
                const tls_files &tls, handler onRequest,
                const std::vector<std::string> &headerNames = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Answers a request; a caller who has gone is passed over.

        @param id      of the request
        @param answer  the whole answer
    */
    void respond(std::uint64_t id, http_response &&answer);

    /** From now on answers end their connections, so that callers move elsewhere. */
    void closeAfterResponses() { isClosing = true; }

    /** @return requests that have no answer yet */
    std::size_t pendingRequests() const { return sessions.size(); }

    /** @return answers that have not been written out yet */
    bool isIdle() const { return sessions.empty(); }

    /** Takes the certificate files anew, for new connections. @return whether that went well */
    bool reloadCertificate();

    int port() const { return listenPort; }
    bool isListening() const { return vhost != nullptr; }

private:
    struct session;
    struct connection;

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    int onHeaders(lws *wsi, connection *user, const char *uri, std::size_t length);
    int onBody(connection *user, const char *data, std::size_t length);
    int onWhole(lws *wsi, connection *user);
    int onWritable(lws *wsi, connection *user);
    int writeHeaders(lws *wsi, session &open);
    int writeBody(lws *wsi, connection *user, session &open);
    void refuse(lws *wsi, session &open, error_kind kind);
    void forget(connection *user);

    lws_protocols protocols[2];
    lws_vhost *vhost = nullptr;
    event_loop &loop;
    http_limits limits;
    tls_files tls;
    std::string address;
    handler onRequest;
    std::vector<std::string> headerNames;
    std::unordered_map<std::uint64_t, std::unique_ptr<session>> sessions;
    void *tlsContext = nullptr;
    int listenPort = 0;
    bool isClosing = false;
};

/** The answer for an error, as problem details. @param kind of the closed list @param detail for a
 * person */
http_response problemResponse(error_kind kind, const std::string &detail,
                              milliseconds retryAfter = {});

} // namespace filbert
