#include "http_server.h"

#include "filbert_messages/filbert_messages.h"
#include "http_head.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace filbert {

namespace {

constexpr std::size_t writeChunkBytes = 64 * 1024;
constexpr std::size_t headerBytes = 4 * 1024;
constexpr std::int64_t millisecondsPerSecond = 1'000;
// Refused callers are told to return after 1 to 3 s, so that they do not return at the same moment.
constexpr std::uint64_t retrySpread = 3;

/** Whether a port is free. The library does not report that it could not open its socket. */
bool canListen(const std::string &address, int port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (probe < 0) {
        return false;
    }
    const int yes = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    const bool isFree = bind(probe, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0
        && listen(probe, 1) == 0;
    close(probe);
    return isFree;
}

bool loadKeyPair(SSL_CTX *context, const tls_files &tls)
{
    return SSL_CTX_use_certificate_chain_file(context, tls.certificate.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context, tls.privateKey.c_str(), SSL_FILETYPE_PEM) == 1
        && SSL_CTX_check_private_key(context) == 1;
}

} // namespace

/** A request as far as it was received, and its response as far as it was written. */
struct http_server::exchange
{
    http_request request;
    http_response response;
    lws *wsi = nullptr;
    std::size_t expectedBytes = 0;
    std::size_t written = 0;
    bool isComplete = false;
    bool isAnswered = false;
    bool areHeadersWritten = false;
    bool endsConnection = false;
    bool isFramed = false; // as in http_head
};

/** The per-connection data that the library stores for the server. */
struct http_server::connection
{
    std::uint64_t id;
};

http_server::http_server(event_loop &loop, const std::string &address, int port, http_limits limits,
                         const tls_files &tls, request_handler onRequest,
                         const std::vector<std::string> &headerNames)
    : protocols {{"http", onEvent, sizeof(connection), 0, 0, this, 0},
                 {nullptr, nullptr, 0, 0, 0, nullptr, 0}}
    , loop {loop}
    , limits {limits}
    , tls {tls}
    , address {address}
    , onRequest {std::move(onRequest)}
    , headerNames {headerNames}
{
    lws_context_creation_info info {};
    info.port = port;
    info.iface = this->address.c_str();
    info.protocols = protocols;
    info.vhost_name = "server";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6; // hosts may have IPv4 only
    info.keepalive_timeout = limits.idleTimeoutSeconds;
    info.timeout_secs = static_cast<unsigned>(limits.idleTimeoutSeconds);
    info.user = this;
    if (!tls.certificate.empty()) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT; // without it the files are ignored
        info.ssl_cert_filepath = this->tls.certificate.c_str();
        info.ssl_private_key_filepath = this->tls.privateKey.c_str();
    }
    if (!canListen(this->address, port)) {
        return; // the library would create a virtual host that does not listen
    }
    vhost = lws_create_vhost(loop.context(), &info);
    listenPort = vhost != nullptr ? lws_get_vhost_listen_port(vhost) : 0;
}

http_server::~http_server()
{
    if (vhost != nullptr) {
        // The library closes the connections later: they must not look for their exchanges then.
        for (const auto &[id, current] : exchanges) {
            static_cast<connection *>(lws_wsi_user(current->wsi))->id = 0;
        }
        exchanges.clear();
        if (limits.limiter != nullptr) {
            limits.limiter->removeServer(*this);
        }
        lws_vhost_destroy(vhost);
    }
}

bool http_server::reloadCertificate()
{
    if (tlsContext == nullptr) {
        return false;
    }
    // Loads the files into a temporary context first: files that are being replaced must not leave
    // a certificate in use whose private key does not match.
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> candidate {
        SSL_CTX_new(TLS_server_method()), SSL_CTX_free};
    return candidate && loadKeyPair(candidate.get(), tls)
        && loadKeyPair(static_cast<SSL_CTX *>(tlsContext), tls);
}

int http_server::onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                         std::size_t length)
{
    const lws_protocols *protocol = lws_get_protocol(wsi);
    auto *self = protocol != nullptr ? static_cast<http_server *>(protocol->user) : nullptr;
    auto *state = static_cast<connection *>(user);
    switch (reason) {
    case LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS: {
        auto *owner = static_cast<http_server *>(lws_get_vhost_user(static_cast<lws_vhost *>(in)));
        if (owner != nullptr) {
            owner->tlsContext = user;
        }
        return 0;
    }
    case LWS_CALLBACK_HTTP:
        return self->onHeaders(wsi, state, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY:
        return self->onBody(state, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return self->onRequestComplete(wsi, state);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return self->onWritable(wsi, state);
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
    case LWS_CALLBACK_CLOSED_HTTP:
        if (state != nullptr && state->id != 0) {
            self->removeExchange(state);
        }
        return 0;
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
    case LWS_CALLBACK_WSI_DESTROY:
        return onConnectionEvent(wsi, reason, in);
    default:
        return 0;
    }
}

int http_server::onConnectionEvent(lws *wsi, lws_callback_reasons reason, void *in)
{
    // The server may have been destroyed before its connections, which it has then forgotten.
    if (reason == LWS_CALLBACK_WSI_DESTROY && lws_get_opaque_user_data(wsi) == nullptr) {
        return 0;
    }
    auto *self = static_cast<http_server *>(lws_get_protocol(wsi)->user);
    if (self == nullptr || self->limits.limiter == nullptr) {
        return 0;
    }
    auto &limiter = *self->limits.limiter;
    if (reason == LWS_CALLBACK_FILTER_NETWORK_CONNECTION) {
        const auto descriptor = static_cast<int>(reinterpret_cast<std::intptr_t>(in));
        return limiter.admitConnection(lws_get_socket_fd(wsi), descriptor) ? 0 : -1;
    }
    if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED) {
        limiter.addConnection(*self, wsi);
    } else {
        limiter.removeConnection(wsi);
    }
    return 0;
}

int http_server::onHeaders(lws *wsi, connection *user, const char *uri, std::size_t length)
{
    static std::uint64_t lastId = 0;
    removeExchange(user);
    user->id = ++lastId;
    auto &current = *exchanges.emplace(user->id, std::make_unique<exchange>()).first->second;
    auto head = readHead(wsi, {uri, length}, headerNames);
    current.wsi = wsi;
    current.isFramed = head.isFramed;
    current.request = std::move(head.request);
    current.request.id = user->id;
    current.request.arrivedAfter = loop.inputArrivedAfter();
    if (limits.limiter != nullptr) {
        limits.limiter->addRequest(*this, user->id, wsi);
    }
    if (exchanges.size() > limits.maxPendingRequests) {
        reject(user->id, current, error_kind::Overloaded);
    } else if (head.isChunked) {
        reject(user->id, current, error_kind::Malformed,
               "a body needs Content-Length: chunked bodies are not accepted");
    } else if (head.bodyBytes < 0) {
        reject(user->id, current, error_kind::Malformed);
    } else if (static_cast<std::size_t>(head.bodyBytes) > limits.maxBodyBytes) {
        reject(user->id, current, error_kind::TooLarge);
    } else {
        current.expectedBytes = static_cast<std::size_t>(head.bodyBytes);
        return head.bodyBytes == 0 ? onRequestComplete(wsi, user) : 0;
    }
    return 0;
}

int http_server::onBody(connection *user, const char *data, std::size_t length)
{
    const auto found = exchanges.find(user->id);
    if (found == exchanges.end() || found->second->isComplete) {
        return 0;
    }
    auto &request = found->second->request;
    if (request.body.size() + length > limits.maxBodyBytes) {
        return -1;
    }
    request.body.append(data, length);
    if (limits.limiter != nullptr) {
        limits.limiter->setBodyBytes(user->id, request.body.capacity());
    }
    return 0;
}

int http_server::onRequestComplete(lws *wsi, connection *user)
{
    const auto found = exchanges.find(user->id);
    if (found == exchanges.end() || found->second->isComplete) {
        return 0;
    }
    auto &current = *found->second;
    if (current.request.body.size() < current.expectedBytes) {
        return 0; // the library reports completion even for bodies that it has not read
    }
    if (limits.limiter != nullptr && !limits.limiter->startWaiting(user->id)) {
        reject(user->id, current, error_kind::Overloaded);
        return 0;
    }
    current.isComplete = true;
    // The request handler enforces its own deadline for the response.
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    auto request = std::move(current.request); // freed before the answer arrives
    onRequest(std::move(request));
    return 0;
}

void http_server::reject(std::uint64_t id, exchange &current, error_kind kind,
                         const std::string &detail)
{
    current.isComplete = true;
    current.isAnswered = true;
    current.endsConnection = true; // the unread body would follow on the connection
    current.request = {};
    const auto retryAfter = kind == error_kind::Overloaded
        ? milliseconds {millisecondsPerSecond * static_cast<std::int64_t>(1 + id % retrySpread)}
        : milliseconds {};
    current.response = problemResponse(
        kind, detail.empty() ? std::string {errorInfo(kind).description} : detail, retryAfter);
    if (limits.limiter != nullptr) {
        limits.limiter->startAnswer(id, current.response.body.size());
    }
    lws_callback_on_writable(current.wsi);
}

void http_server::refuseRequest(std::uint64_t id, limit_reason reason)
{
    const auto found = exchanges.find(id);
    if (found == exchanges.end()) {
        return;
    }
    auto &current = *found->second;
    if (!current.isComplete) {
        reject(id, current, error_kind::Overloaded,
               reason == limit_reason::Deadline ? "the body arrived too slowly"
                                                : "this host has no memory left for the request");
        return;
    }
    lws_set_timeout(current.wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
    eraseExchange(id); // frees the answer at once
}

bool http_server::holdUntilAnswered(std::uint64_t id, std::size_t bytes)
{
    return limits.limiter == nullptr || limits.limiter->setWaitingBytes(id, bytes);
}

void http_server::respond(std::uint64_t id, http_response &&response)
{
    const auto found = exchanges.find(id);
    if (found == exchanges.end()) {
        return;
    }
    auto &current = *found->second;
    current.response = std::move(response);
    current.isAnswered = true;
    lws_callback_on_writable(current.wsi);
    if (limits.limiter != nullptr) {
        limits.limiter->startAnswer(id, current.response.body.size());
        limits.limiter->enforceMemory(); // may end this exchange
    }
}

int http_server::onWritable(lws *wsi, connection *user)
{
    const auto found = exchanges.find(user->id);
    if (found == exchanges.end() || !found->second->isAnswered) {
        return 0;
    }
    auto &current = *found->second;
    if (!current.areHeadersWritten) {
        return writeHeaders(wsi, user, current);
    }
    return writeBody(wsi, user, current);
}

int http_server::writeHeaders(lws *wsi, connection *user, exchange &current)
{
    current.endsConnection = current.endsConnection || isClosing;
    if (current.endsConnection) {
        current.response.headers.push_back({"connection", "close"});
    }
    // A short body leaves together with the headers, in one write and one turn of the loop.
    const auto &body = current.response.body;
    const bool isShort = body.size() <= writeChunkBytes && !current.isFramed;
    std::vector<unsigned char> buffer(LWS_PRE + headerBytes + (isShort ? body.size() : 0));
    unsigned char *position = buffer.data() + LWS_PRE;
    unsigned char *const start = position;
    unsigned char *const end = buffer.data() + LWS_PRE + headerBytes - 1;
    const auto &response = current.response;
    if (lws_add_http_common_headers(wsi, static_cast<unsigned>(response.status),
                                    response.contentType.c_str(), response.body.size(), &position,
                                    end)
        != 0) {
        return -1;
    }
    for (const auto &header : response.headers) {
        const auto name = header.name + ":";
        if (lws_add_http_header_by_name(
                wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                static_cast<int>(header.value.size()), &position, end)
            != 0) {
            return -1;
        }
    }
    if (!isShort) {
        if (lws_finalize_write_http_header(wsi, start, &position, end) != 0) {
            return -1;
        }
        current.areHeadersWritten = true;
        lws_callback_on_writable(wsi);
        return 0;
    }
    if (lws_finalize_http_header(wsi, &position, end) != 0) {
        return -1;
    }
    std::memcpy(position, body.data(), body.size());
    const auto length = static_cast<std::size_t>(position - start) + body.size();
    if (lws_write(wsi, start, length, LWS_WRITE_HTTP_FINAL) < 0) {
        return -1;
    }
    return completeExchange(wsi, user, current);
}

int http_server::writeBody(lws *wsi, connection *user, exchange &current)
{
    const auto &body = current.response.body;
    const auto length = std::min(writeChunkBytes, body.size() - current.written);
    const bool isLast = current.written + length == body.size();
    std::vector<unsigned char> buffer(LWS_PRE + length);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + current.written, length);
    if (length > 0
        && lws_write(wsi, buffer.data() + LWS_PRE, length,
                     isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
            < 0) {
        return -1;
    }
    current.written += length;
    if (!isLast) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    return completeExchange(wsi, user, current);
}

int http_server::completeExchange(lws *wsi, connection *user, const exchange &current)
{
    const bool ends = current.endsConnection;
    eraseExchange(user->id);
    user->id = 0;
    return lws_http_transaction_completed(wsi) != 0 || ends ? -1 : 0;
}

void http_server::removeExchange(connection *user)
{
    if (user->id != 0) {
        eraseExchange(user->id);
        user->id = 0;
    }
}

void http_server::eraseExchange(std::uint64_t id)
{
    exchanges.erase(id);
    if (limits.limiter != nullptr) {
        limits.limiter->removeRequest(id);
    }
}

http_response problemResponse(error_kind kind, const std::string &detail, milliseconds retryAfter)
{
    const auto &row = errorInfo(kind);
    messages::problem problem;
    problem.set_type("about:blank");
    problem.set_title(std::string {row.description});
    problem.set_status(row.httpStatus);
    problem.set_detail(detail);
    problem.set_kind(std::string {row.name});
    problem.set_outcome(std::string {outcomeName(row.outcome)});
    http_response response;
    response.status = row.httpStatus;
    response.contentType = "application/problem+json";
    response.body = writeJson(problem);
    if (retryAfter.count > 0) {
        const auto seconds = (retryAfter.count + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    return response;
}

} // namespace filbert
