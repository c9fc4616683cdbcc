#include "http_server.h"

#include "filbert_messages/filbert_messages.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
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

struct method_token
{
    lws_token_indexes token;
    const char *name;
};

constexpr method_token methodTokens[] = {
    {WSI_TOKEN_GET_URI, "GET"},     {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},     {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_PATCH_URI, "PATCH"}, {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
    {WSI_TOKEN_HEAD_URI, "HEAD"},
};

std::string methodOf(lws *wsi)
{
    for (const auto &entry : methodTokens) {
        if (lws_hdr_total_length(wsi, entry.token) > 0) {
            return entry.name;
        }
    }
    return {};
}

std::string headerOf(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

std::string customHeaderOf(lws *wsi, std::string_view name)
{
    const int length = lws_hdr_custom_length(wsi, name.data(), static_cast<int>(name.size()));
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, name.data(),
                                           static_cast<int>(name.size()));
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

std::int64_t numberOf(const std::string &text)
{
    std::int64_t number = -1;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Whether a port is free; the library does not say that it could not open its socket. */
bool canListen(const std::string &address, int port)
{
    const int trial = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (trial < 0) {
        return false;
    }
    const int yes = 1;
    setsockopt(trial, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    const bool isFree = bind(trial, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0
        && listen(trial, 1) == 0;
    close(trial);
    return isFree;
}

bool usePair(SSL_CTX *context, const tls_files &tls)
{
    return SSL_CTX_use_certificate_chain_file(context, tls.certificate.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context, tls.privateKey.c_str(), SSL_FILETYPE_PEM) == 1
        && SSL_CTX_check_private_key(context) == 1;
}

} // namespace

/** One exchange: the request as far as it has come, then the answer as far as it has gone. */
struct http_server::session
{
    http_request request;
    http_response answer;
    lws *wsi = nullptr;
    std::size_t expectedBytes = 0;
    std::size_t written = 0;
    bool isWhole = false;
    bool isAnswered = false;
    bool areHeadersWritten = false;
    bool endsConnection = false;
};

/** What the library keeps for a connection. */
struct http_server::connection
{
    std::uint64_t id;
};

http_server::http_server(event_loop &loop, const std::string &address, int port, http_limits limits,
                         const tls_files &tls, handler onRequest,
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
        info.options |=
            LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT; // without it the files are passed over
        info.ssl_cert_filepath = this->tls.certificate.c_str();
        info.ssl_private_key_filepath = this->tls.privateKey.c_str();
    }
    if (!canListen(this->address, port)) {
        return; // the library would give a virtual host that is deaf
    }
    vhost = lws_create_vhost(loop.context(), &info);
    listenPort = vhost != nullptr ? lws_get_vhost_listen_port(vhost) : 0;
}

http_server::~http_server()
{
    if (vhost != nullptr) {
        sessions.clear();
        lws_vhost_destroy(vhost);
    }
}

bool http_server::reloadCertificate()
{
    if (tlsContext == nullptr) {
        return false;
    }
    // Tried apart first: files that are being replaced must not leave half of a pair in use.
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> trial {SSL_CTX_new(TLS_server_method()),
                                                                   SSL_CTX_free};
    return trial && usePair(trial.get(), tls) && usePair(static_cast<SSL_CTX *>(tlsContext), tls);
}

int http_server::onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                         std::size_t length)
{
    const lws_protocols *protocol = lws_get_protocol(wsi);
    auto *self = protocol != nullptr ? static_cast<http_server *>(protocol->user) : nullptr;
    auto *open = static_cast<connection *>(user);
    switch (reason) {
    case LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS: {
        auto *owner = static_cast<http_server *>(lws_get_vhost_user(static_cast<lws_vhost *>(in)));
        if (owner != nullptr) {
            owner->tlsContext = user;
        }
        return 0;
    }
    case LWS_CALLBACK_HTTP:
        return self->onHeaders(wsi, open, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY:
        return self->onBody(open, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return self->onWhole(wsi, open);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return self->onWritable(wsi, open);
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
    case LWS_CALLBACK_CLOSED_HTTP:
        if (self != nullptr && open != nullptr) {
            self->forget(open);
        }
        return 0;
    default:
        return 0;
    }
}

int http_server::onHeaders(lws *wsi, connection *user, const char *uri, std::size_t length)
{
    static std::uint64_t lastId = 0;
    forget(user);
    user->id = ++lastId;
    auto &open = *sessions.emplace(user->id, std::make_unique<session>()).first->second;
    open.wsi = wsi;
    auto &request = open.request;
    request.id = user->id;
    request.method = methodOf(wsi);
    request.path.assign(uri, length);
    request.host = headerOf(wsi, WSI_TOKEN_HOST);
    request.query = headerOf(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    request.authorization = headerOf(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.contentType = headerOf(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    request.idempotencyKey = customHeaderOf(wsi, "idempotency-key:");
    const auto deadline = customHeaderOf(wsi, "filbert-deadline-ms:");
    request.deadline = {deadline.empty() ? 0 : numberOf(deadline)};

    for (const auto &name : headerNames) {
        request.headers.push_back({name, customHeaderOf(wsi, name + ":")});
    }
    if (sessions.size() > limits.maxPendingRequests) {
        refuse(wsi, open, error_kind::Overloaded);
        return 0;
    }
    const auto stated = headerOf(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!headerOf(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING).empty()) {
        refuse(wsi, open, error_kind::Malformed);
        return 0;
    }
    const auto maxBodyBytes = stated.empty() ? 0 : numberOf(stated);
    if (maxBodyBytes < 0) {
        refuse(wsi, open, error_kind::Malformed);
        return 0;
    }
    if (static_cast<std::size_t>(maxBodyBytes) > limits.maxBodyBytes) {
        refuse(wsi, open, error_kind::TooLarge);
        return 0;
    }
    open.expectedBytes = static_cast<std::size_t>(maxBodyBytes);
    return maxBodyBytes == 0 ? onWhole(wsi, user) : 0;
}

int http_server::onBody(connection *user, const char *data, std::size_t length)
{
    const auto found = sessions.find(user->id);
    if (found == sessions.end() || found->second->isWhole) {
        return 0;
    }
    auto &request = found->second->request;
    if (request.body.size() + length > limits.maxBodyBytes) {
        return -1;
    }
    request.body.append(data, length);
    return 0;
}

int http_server::onWhole(lws *wsi, connection *user)
{
    const auto found = sessions.find(user->id);
    if (found == sessions.end() || found->second->isWhole) {
        return 0;
    }
    auto &open = *found->second;
    if (open.request.body.size() < open.expectedBytes) {
        return 0; // the library also reports "complete" for bodies that it has not read
    }
    open.isWhole = true;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0); // the answer's own deadline is kept by the handler
    onRequest(std::move(open.request));
    return 0;
}

void http_server::refuse(lws *wsi, session &open, error_kind kind)
{
    open.isWhole = true;
    open.isAnswered = true;
    open.endsConnection = true; // what follows on the connection would be the unread body
    open.answer = problemResponse(kind, std::string {errorInfo(kind).description});
    lws_callback_on_writable(wsi);
}

void http_server::respond(std::uint64_t id, http_response &&answer)
{
    const auto found = sessions.find(id);
    if (found == sessions.end()) {
        return;
    }
    auto &open = *found->second;
    open.answer = std::move(answer);
    open.isAnswered = true;
    lws_callback_on_writable(open.wsi);
}

int http_server::onWritable(lws *wsi, connection *user)
{
    const auto found = sessions.find(user->id);
    if (found == sessions.end() || !found->second->isAnswered) {
        return 0;
    }
    auto &open = *found->second;
    if (!open.areHeadersWritten) {
        return writeHeaders(wsi, open);
    }
    return writeBody(wsi, user, open);
}

int http_server::writeHeaders(lws *wsi, session &open)
{
    open.endsConnection = open.endsConnection || isClosing;
    if (open.endsConnection) {
        open.answer.headers.push_back({"connection", "close"});
    }
    std::vector<unsigned char> buffer(LWS_PRE + headerBytes);
    unsigned char *position = buffer.data() + LWS_PRE;
    unsigned char *const start = position;
    unsigned char *const end = buffer.data() + buffer.size() - 1;
    const auto &answer = open.answer;
    if (lws_add_http_common_headers(wsi, static_cast<unsigned>(answer.status),
                                    answer.contentType.c_str(), answer.body.size(), &position, end)
        != 0) {
        return -1;
    }
    for (const auto &header : answer.headers) {
        const auto name = header.name + ":";
        if (lws_add_http_header_by_name(
                wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                static_cast<int>(header.value.size()), &position, end)
            != 0) {
            return -1;
        }
    }
    if (lws_finalize_write_http_header(wsi, start, &position, end) != 0) {
        return -1;
    }
    open.areHeadersWritten = true;
    lws_callback_on_writable(wsi);
    return 0;
}

int http_server::writeBody(lws *wsi, connection *user, session &open)
{
    const auto &body = open.answer.body;
    const auto length = std::min(writeChunkBytes, body.size() - open.written);
    const bool isLast = open.written + length == body.size();
    std::vector<unsigned char> buffer(LWS_PRE + length);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + open.written, length);
    if (length > 0
        && lws_write(wsi, buffer.data() + LWS_PRE, length,
                     isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
            < 0) {
        return -1;
    }
    open.written += length;
    if (!isLast) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    const bool ends = open.endsConnection;
    sessions.erase(user->id);
    user->id = 0;
    return lws_http_transaction_completed(wsi) != 0 || ends ? -1 : 0;
}

void http_server::forget(connection *user)
{
    if (user->id != 0) {
        sessions.erase(user->id);
        user->id = 0;
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
    http_response answer;
    answer.status = row.httpStatus;
    answer.contentType = "application/problem+json";
    answer.body = writeJson(problem);
    if (retryAfter.count > 0) {
        const auto seconds = (retryAfter.count + millisecondsPerSecond - 1) / millisecondsPerSecond;
        answer.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    return answer;
}

} // namespace filbert
