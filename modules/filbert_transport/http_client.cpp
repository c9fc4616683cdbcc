#include "http_client.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <deque>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds deadlineCheckPeriod {50};
constexpr milliseconds timeoutUpdatePeriod {1'000}; // a fifth of the 5 s timeout of libwebsockets
constexpr std::int64_t millisecondsPerSecond = 1'000;
constexpr int timeoutMarginSeconds = 2;
constexpr std::size_t maxResponseBytes = 8 << 20;
constexpr std::uint16_t keepAliveSeconds = 15;

/** Whether a call can be sent as it is: the library would look up the name in an endpoint without
   an IP address, use the lower 16 bits of a port, and write a line end in a header as it stands. */
bool canBeSent(const http_call &call)
{
    return isEndpoint(call.endpoint) && isPlainText(call.path)
        && std::all_of(call.headers.begin(), call.headers.end(),
                       [](const auto &header) { return isPlainText(header.value); });
}

} // namespace

int libraryTimeoutSeconds(time_point deadline, time_point now)
{
    const auto remaining = std::max<std::int64_t>((deadline - now).count, 0);
    return static_cast<int>(remaining / millisecondsPerSecond) + timeoutMarginSeconds;
}

/** Connections to one endpoint. A connection slot is an index into the vhosts; a slot is idle while
    it has no call to this endpoint in flight. */
struct http_client::endpoint_state
{
    std::vector<int> idleSlots;
    int slotCount = 0;
    time_point suspectUntil; // idle connections are not reused before then
    std::deque<std::shared_ptr<pending_call>> waitingCalls;
};

/** A call, the state of its connection, and its response as far as it was received. */
struct http_client::pending_call
{
    http_client *client = nullptr;
    http_call request;
    response_handler onResponse;
    http_response response;
    endpoint_state *endpoint = nullptr;
    lws *wsi = nullptr;
    time_point deadline;
    std::int64_t contentLength = -1;
    int slot = -1;
    bool mayHaveBeenSent = false;
    bool keepsConnection = false;
    time_point nextTimeoutUpdate; // when to set the timeout in libwebsockets again
    bool isEnded = false;
};

http_client::http_client(event_loop &loop, int maxConnections, bool usesTls,
                         const std::string &trustedFile)
    : protocols {{"http-client", onEvent, 0, 16 * 1024, 0, this, 0},
                 {nullptr, nullptr, 0, 0, 0, nullptr, 0}}
    , loop {loop}
    , maxConnections {maxConnections}
    , usesTls {usesTls}
    , trustedFile {trustedFile}
{
    lastDeadlineCheck = monotonicNow();
    loop.callEvery(deadlineCheckPeriod, [this] { checkDeadlines(); });
}

http_client::~http_client()
{
    for (auto &[key, call] : activeCalls) {
        call->isEnded = true;
        if (call->wsi != nullptr) {
            lws_set_wsi_user(call->wsi, nullptr);
        }
    }
    for (auto *vhost : vhosts) {
        lws_vhost_destroy(vhost);
    }
}

void http_client::setMaxConnections(int count)
{
    maxConnections = std::max(count, 1);
    for (auto &[name, endpoint] : endpoints) {
        startWaitingCalls(*endpoint);
    }
}

void http_client::send(http_call &&call, response_handler onResponse)
{
    if (!canBeSent(call)) {
        if (const auto leftOut = refusalLimit.admit(monotonicNow())) {
            log_line {"call_not_sent", log_line::severity::Warning}
                .with("endpoint", call.endpoint)
                .with("path", call.path)
                .with("left_out", *leftOut);
        }
        loop.post(
            [onResponse = std::move(onResponse)] { onResponse(error_kind::ConnectionFailed, {}); });
        return;
    }
    auto pending = std::make_shared<pending_call>();
    pending->client = this;
    pending->request = std::move(call);
    pending->onResponse = std::move(onResponse);
    pending->deadline = monotonicNow() + pending->request.timeout;
    auto &endpoint = endpoints[pending->request.endpoint];
    if (!endpoint) {
        endpoint = std::make_unique<endpoint_state>();
    }
    pending->endpoint = endpoint.get();
    activeCalls.emplace(pending.get(), pending);
    endpoint->waitingCalls.push_back(pending);
    startWaitingCalls(*endpoint);
}

void http_client::startWaitingCalls(endpoint_state &endpoint)
{
    while (!endpoint.waitingCalls.empty()) {
        int slot = -1;
        if (!endpoint.idleSlots.empty()) {
            slot = endpoint.idleSlots.back();
            endpoint.idleSlots.pop_back();
        } else if (endpoint.slotCount < maxConnections) {
            slot = endpoint.slotCount++;
        } else {
            return;
        }
        auto call = endpoint.waitingCalls.front();
        endpoint.waitingCalls.pop_front();
        call->slot = slot;
        start(call);
    }
}

void http_client::start(const std::shared_ptr<pending_call> &call)
{
    // The library queues calls on a connection of the same vhost and endpoint. One vhost per slot,
    // with one call in flight, gives persistent connections without that queue.
    while (static_cast<int>(vhosts.size()) <= call->slot) {
        lws_context_creation_info info {};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = protocols;
        info.vhost_name = "client";
        info.options =
            LWS_SERVER_OPTION_DISABLE_IPV6 | (usesTls ? LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT : 0);
        info.client_ssl_ca_filepath = trustedFile.empty() ? nullptr : trustedFile.c_str();
        vhosts.push_back(lws_create_vhost(loop.context(), &info));
    }
    if (call->request.responseTimeout.count > 0) {
        call->deadline = std::min(call->deadline, monotonicNow() + call->request.responseTimeout);
    }
    const auto &endpoint = call->request.endpoint;
    const auto [address, port] = splitEndpoint(endpoint);
    lws_client_connect_info info {};
    info.context = loop.context();
    info.vhost = vhosts[static_cast<std::size_t>(call->slot)];
    info.address = address.c_str();
    info.host = address.c_str(); // with a port, the library would not find the idle connection
    info.origin = endpoint.c_str();
    info.port = port;
    info.path = call->request.path.c_str();
    info.method = call->request.method.c_str();
    info.protocol = protocols[0].name;
    info.local_protocol_name = protocols[0].name;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    call->keepsConnection =
        !call->request.needsNewConnection && monotonicNow() >= call->endpoint->suspectUntil;
    if (call->keepsConnection) {
        info.ssl_connection |= LCCSCF_PIPELINE;
    }
    if (usesTls) {
        info.ssl_connection |= LCCSCF_USE_SSL;
    }
    info.userdata = call.get();
    info.alpn = "http/1.1";
    info.keep_warm_secs = keepAliveSeconds;
    info.pwsi = &call->wsi;
    if (lws_client_connect_via_info(&info) == nullptr && !call->isEnded) {
        finish(*call, error_kind::ConnectionFailed);
    }
}

int http_client::onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                         std::size_t length)
{
    auto *call = static_cast<pending_call *>(user);
    const lws_protocols *protocol = lws_get_protocol(wsi);
    if (protocol == nullptr || protocol->user == nullptr) {
        return 0;
    }
    auto *self = static_cast<http_client *>(protocol->user);
    if (reason == LWS_CALLBACK_WSI_DESTROY) {
        self->connectionsToClose.erase(wsi);
        return 0;
    }
    if (call == nullptr) {
        return 0;
    }
    if (!self->activeCalls.contains(call)) {
        return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        call->wsi = nullptr;
        finish(*call,
               call->mayHaveBeenSent ? error_kind::TargetLost : error_kind::ConnectionFailed);
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return self->appendHeaders(wsi, *call, static_cast<unsigned char **>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return self->writeBody(wsi, *call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
        call->response.status = static_cast<int>(lws_http_client_http_response(wsi));
        char text[128] = {};
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
            std::from_chars(text, text + std::strlen(text), call->contentLength);
        }
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_TYPE) > 0) {
            call->response.contentType = text;
        }
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_RETRY_AFTER) > 0) {
            call->response.headers.push_back({"retry-after", text});
        }
        constexpr std::string_view placement = "filbert-placement:";
        if (lws_hdr_custom_copy(wsi, text, sizeof text, placement.data(),
                                static_cast<int>(placement.size()))
            > 0) {
            call->response.headers.push_back({"filbert-placement", text});
        }
        return 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
        char buffer[LWS_PRE + 16 * 1024];
        char *position = buffer + LWS_PRE;
        int room = sizeof buffer - LWS_PRE;
        return lws_http_client_read(wsi, &position, &room) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (call->response.body.size() + length > maxResponseBytes) {
            return -1;
        }
        call->response.body.append(static_cast<const char *>(in), length);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP: {
        const bool isTruncated = call->contentLength >= 0
            && call->response.body.size() != static_cast<std::size_t>(call->contentLength);
        lws_set_wsi_user(wsi, nullptr);
        call->wsi = nullptr;
        // The library would keep the connection open although no other call may use it. Endpoints
        // limit the number of connections.
        const bool closes = !call->keepsConnection;
        if (closes) {
            self->connectionsToClose.insert(wsi);
        }
        finish(*call, isTruncated ? std::error_code {error_kind::TargetLost} : std::error_code {});
        return closes ? -1 : 0;
    }
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        call->wsi = nullptr;
        finish(*call, error_kind::TargetLost);
        return 0;
    default:
        return 0;
    }
}

int http_client::appendHeaders(lws *wsi, pending_call &call, unsigned char **position,
                               std::size_t room)
{
    unsigned char *const end = *position + room;
    auto headers = call.request.headers;
    if (!call.request.body.empty() || call.request.method != "GET") {
        headers.push_back({"content-length", std::to_string(call.request.body.size())});
    }
    for (const auto &header : headers) {
        const auto name = header.name + ":";
        if (lws_add_http_header_by_name(
                wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                static_cast<int>(header.value.size()), position, end)
            != 0) {
            return -1;
        }
    }
    call.mayHaveBeenSent = true; // from here on the server may have read the request
    if (!call.request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int http_client::writeBody(lws *wsi, pending_call &call)
{
    const auto &body = call.request.body;
    if (body.empty()) {
        return 0;
    }
    lws_client_http_body_pending(wsi, 0);
    std::vector<unsigned char> buffer(LWS_PRE + body.size());
    std::memcpy(buffer.data() + LWS_PRE, body.data(), body.size());
    const int written = lws_write(wsi, buffer.data() + LWS_PRE, body.size(), LWS_WRITE_HTTP_FINAL);
    return written < 0 ? -1 : 0;
}

void http_client::finish(pending_call &call, std::error_code error)
{
    if (call.isEnded) {
        return;
    }
    call.isEnded = true;
    auto *self = call.client;
    const auto owner = self->activeCalls.at(&call);
    self->activeCalls.erase(&call);
    auto &endpoint = *call.endpoint;
    if (call.slot >= 0) {
        endpoint.idleSlots.push_back(call.slot);
    } else {
        std::erase(endpoint.waitingCalls, owner);
    }
    // Deferred: the library is still using this connection.
    self->loop.post([self, owner, error, &endpoint] {
        self->closeConnections();
        self->startWaitingCalls(endpoint);
        owner->onResponse(error, std::move(owner->response));
    });
}

/** Closes the connections that no other call may use. The library does so by itself when the end of
    a response is reported, except for a response without a body: such a connection would stay open
    without a timeout, and later calls with its slot would wait behind it for ever. */
void http_client::closeConnections()
{
    while (!connectionsToClose.empty()) {
        auto *const wsi = *connectionsToClose.begin();
        connectionsToClose.erase(connectionsToClose.begin());
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
}

/** Whether the loop has stalled since the last check, so that responses may not have been read yet.
    Two checks in a row are never skipped: a loop that is always late still enforces deadlines. */
bool http_client::mustSkipDeadlineCheck(time_point now)
{
    const auto elapsed = now - std::exchange(lastDeadlineCheck, now);
    wasCheckSkipped = elapsed >= deadlineCheckPeriod * 2 && !wasCheckSkipped;
    return wasCheckSkipped;
}

void http_client::checkDeadlines()
{
    const auto now = monotonicNow();
    if (mustSkipDeadlineCheck(now)) {
        return;
    }
    std::vector<std::shared_ptr<pending_call>> overdue;
    for (const auto &[key, call] : activeCalls) {
        if (call->mayHaveBeenSent && call->wsi != nullptr && now >= call->nextTimeoutUpdate) {
            // The library times out after 5 s and restarts that timeout whenever it has sent a part
            // of the request, with TLS even in a later iteration. The deadline of the call is what
            // matters, so the timeout is set again.
            call->nextTimeoutUpdate = now + timeoutUpdatePeriod;
            lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK,
                            libraryTimeoutSeconds(call->deadline, now));
        }
        if (call->deadline <= now) {
            overdue.push_back(call);
        }
    }
    for (const auto &call : overdue) {
        abandon(*call, error_kind::Timeout);
    }
}

void http_client::abandon(pending_call &call, std::error_code error)
{
    if (call.wsi != nullptr) {
        lws_set_wsi_user(call.wsi, nullptr);
        lws_set_timeout(call.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
        call.wsi = nullptr;
    }
    if (call.mayHaveBeenSent) {
        call.endpoint->suspectUntil = monotonicNow() + call.client->suspectPeriod;
    }
    finish(call, call.mayHaveBeenSent ? error : error_kind::ConnectionFailed);
}

void http_client::cancel(std::uint64_t id)
{
    const auto found =
        std::find_if(activeCalls.begin(), activeCalls.end(),
                     [id](const auto &entry) { return entry.second->request.id == id; });
    if (id != 0 && found != activeCalls.end()) {
        abandon(*found->second, error_kind::TargetLost);
    }
}

} // namespace filbert
