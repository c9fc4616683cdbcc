#include "http_client.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <deque>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds deadlinePeriod {50};
constexpr milliseconds timeoutPeriod {1'000}; // a fifth of what the library waits by itself
constexpr std::int64_t millisecondsPerSecond = 1'000;
constexpr int spareSeconds = 2;
constexpr std::size_t maxAnswerBytes = 8 << 20;
constexpr std::uint16_t keptWarmSeconds = 15;

} // namespace

int libraryTimeoutSeconds(time_point deadline, time_point now)
{
    const auto left = std::max<std::int64_t>((deadline - now).count, 0);
    return static_cast<int>(left / millisecondsPerSecond) + spareSeconds;
}

/** Connections to one endpoint: the indexes of vhosts that have no call in flight to it. */
struct http_client::endpoint_state
{
    std::vector<int> idle;
    int opened = 0;
    time_point keptAreDoubtfulUntil; // kept connections may have gone silent
    std::deque<std::shared_ptr<exchange>> waiting;
};

struct http_client::exchange
{
    http_client *client = nullptr;
    http_call call;
    handler onAnswer;
    http_response answer;
    endpoint_state *endpoint = nullptr;
    lws *wsi = nullptr;
    time_point deadline;
    std::int64_t statedBytes = -1;
    int slot = -1;
    bool hasLeft = false;
    bool keepsConnection = false;
    time_point ownTimeoutAt; // when the library is told again how long to wait
    bool isEnded = false;
};

http_client::http_client(event_loop &loop, int connections, bool usesTls,
                         const std::string &trustedFile)
    : protocols {{"http-client", onEvent, 0, 16 * 1024, 0, this, 0},
                 {nullptr, nullptr, 0, 0, 0, nullptr, 0}}
    , loop {loop}
    , connections {connections}
    , usesTls {usesTls}
    , trustedFile {trustedFile}
{
    loop.callEvery(deadlinePeriod, [this] { checkDeadlines(); });
}

http_client::~http_client()
{
    for (auto &[key, call] : live) {
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
    connections = std::max(count, 1);
    for (auto &[name, endpoint] : endpoints) {
        startWaiting(*endpoint);
    }
}

void http_client::send(http_call &&call, handler onAnswer)
{
    auto opened = std::make_shared<exchange>();
    opened->client = this;
    opened->call = std::move(call);
    opened->onAnswer = std::move(onAnswer);
    opened->deadline = monotonicNow() + opened->call.timeout;
    auto &endpoint = endpoints[opened->call.endpoint];
    if (!endpoint) {
        endpoint = std::make_unique<endpoint_state>();
    }
    opened->endpoint = endpoint.get();
    live.emplace(opened.get(), opened);
    endpoint->waiting.push_back(opened);
    startWaiting(*endpoint);
}

void http_client::startWaiting(endpoint_state &endpoint)
{
    while (!endpoint.waiting.empty()) {
        int slot = -1;
        if (!endpoint.idle.empty()) {
            slot = endpoint.idle.back();
            endpoint.idle.pop_back();
        } else if (endpoint.opened < connections) {
            slot = endpoint.opened++;
        } else {
            return;
        }
        auto call = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        call->slot = slot;
        start(call);
    }
}

void http_client::start(const std::shared_ptr<exchange> &call)
{
    // The library queues calls behind each other on a connection of the same vhost and endpoint.
    // A vhost for each slot, with one call in flight, gives kept connections without that queue.
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
    const auto &endpoint = call->call.endpoint;
    const auto [address, port] = splitEndpoint(endpoint);
    lws_client_connect_info info {};
    info.context = loop.context();
    info.vhost = vhosts[static_cast<std::size_t>(call->slot)];
    info.address = address.c_str();
    info.host = address.c_str(); // with a port, the library would not find the kept connection
    info.origin = endpoint.c_str();
    info.port = port;
    info.path = call->call.path.c_str();
    info.method = call->call.method.c_str();
    info.protocol = protocols[0].name;
    info.local_protocol_name = protocols[0].name;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    call->keepsConnection =
        !call->call.needsNewConnection && monotonicNow() >= call->endpoint->keptAreDoubtfulUntil;
    if (call->keepsConnection) {
        info.ssl_connection |= LCCSCF_PIPELINE;
    }
    if (usesTls) {
        info.ssl_connection |= LCCSCF_USE_SSL;
    }
    info.userdata = call.get();
    info.alpn = "http/1.1";
    info.keep_warm_secs = keptWarmSeconds;
    info.pwsi = &call->wsi;
    if (lws_client_connect_via_info(&info) == nullptr && !call->isEnded) {
        finish(*call, error_kind::ConnectionFailed);
    }
}

int http_client::onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                         std::size_t length)
{
    auto *call = static_cast<exchange *>(user);
    const lws_protocols *protocol = lws_get_protocol(wsi);
    if (call == nullptr || protocol == nullptr || protocol->user == nullptr) {
        return 0;
    }
    auto *self = static_cast<http_client *>(protocol->user);
    if (!self->live.contains(call)) {
        return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        call->wsi = nullptr;
        finish(*call, call->hasLeft ? error_kind::TargetLost : error_kind::ConnectionFailed);
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return self->appendHeaders(wsi, *call, static_cast<unsigned char **>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return self->writeBody(wsi, *call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
        call->answer.status = static_cast<int>(lws_http_client_http_response(wsi));
        char text[128] = {};
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
            std::from_chars(text, text + std::strlen(text), call->statedBytes);
        }
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_TYPE) > 0) {
            call->answer.contentType = text;
        }
        if (lws_hdr_copy(wsi, text, sizeof text, WSI_TOKEN_HTTP_RETRY_AFTER) > 0) {
            call->answer.headers.push_back({"retry-after", text});
        }
        constexpr std::string_view placement = "filbert-placement:";
        if (lws_hdr_custom_copy(wsi, text, sizeof text, placement.data(),
                                static_cast<int>(placement.size()))
            > 0) {
            call->answer.headers.push_back({"filbert-placement", text});
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
        if (call->answer.body.size() + length > maxAnswerBytes) {
            return -1;
        }
        call->answer.body.append(static_cast<const char *>(in), length);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP: {
        const bool isCut = call->statedBytes >= 0
            && call->answer.body.size() != static_cast<std::size_t>(call->statedBytes);
        lws_set_wsi_user(wsi, nullptr);
        call->wsi = nullptr;
        // The library would keep it open though no other call may use it; endpoints bound the
        // number.
        const bool closes = !call->keepsConnection;
        finish(*call, isCut ? std::error_code {error_kind::TargetLost} : std::error_code {});
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

int http_client::appendHeaders(lws *wsi, exchange &call, unsigned char **position, std::size_t room)
{
    unsigned char *const end = *position + room;
    auto headers = call.call.headers;
    if (!call.call.body.empty() || call.call.method != "GET") {
        headers.push_back({"content-length", std::to_string(call.call.body.size())});
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
    call.hasLeft = true; // from here on the request may have been read
    if (!call.call.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int http_client::writeBody(lws *wsi, exchange &call)
{
    const auto &body = call.call.body;
    if (body.empty()) {
        return 0;
    }
    lws_client_http_body_pending(wsi, 0);
    std::vector<unsigned char> buffer(LWS_PRE + body.size());
    std::memcpy(buffer.data() + LWS_PRE, body.data(), body.size());
    const int written = lws_write(wsi, buffer.data() + LWS_PRE, body.size(), LWS_WRITE_HTTP_FINAL);
    return written < 0 ? -1 : 0;
}

void http_client::finish(exchange &call, std::error_code error)
{
    if (call.isEnded) {
        return;
    }
    call.isEnded = true;
    auto *self = call.client;
    const auto kept = self->live.at(&call);
    self->live.erase(&call);
    auto &endpoint = *call.endpoint;
    if (call.slot >= 0) {
        endpoint.idle.push_back(call.slot);
    } else {
        std::erase(endpoint.waiting, kept);
    }
    // On a later turn: the library is still busy with this connection.
    self->loop.post([self, kept, error, &endpoint] {
        self->startWaiting(endpoint);
        kept->onAnswer(error, std::move(kept->answer));
    });
}

void http_client::checkDeadlines()
{
    const auto now = monotonicNow();
    std::vector<std::shared_ptr<exchange>> late;
    for (const auto &[key, call] : live) {
        if (call->hasLeft && call->wsi != nullptr && now >= call->ownTimeoutAt) {
            // The library gives up after 5 s and says so anew with each part that has left, over
            // TLS also in a later turn; this call's own deadline counts.
            call->ownTimeoutAt = now + timeoutPeriod;
            lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK,
                            libraryTimeoutSeconds(call->deadline, now));
        }
        if (call->deadline <= now) {
            late.push_back(call);
        }
    }
    for (const auto &call : late) {
        abandon(*call, error_kind::Timeout);
    }
}

void http_client::abandon(exchange &call, std::error_code error)
{
    if (call.wsi != nullptr) {
        lws_set_wsi_user(call.wsi, nullptr);
        lws_set_timeout(call.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
        call.wsi = nullptr;
    }
    if (call.hasLeft) {
        call.endpoint->keptAreDoubtfulUntil = monotonicNow() + call.client->doubtSpan;
    }
    finish(call, call.hasLeft ? error : error_kind::ConnectionFailed);
}

void http_client::cancel(std::uint64_t id)
{
    const auto found = std::find_if(
        live.begin(), live.end(), [id](const auto &entry) { return entry.second->call.id == id; });
    if (id != 0 && found != live.end()) {
        abandon(*found->second, error_kind::TargetLost);
    }
}

} // namespace filbert
