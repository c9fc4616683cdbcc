#include "http_head.h"

#include <charconv>

namespace filbert {

namespace {

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

std::string requestMethod(lws *wsi)
{
    for (const auto &entry : methodTokens) {
        if (lws_hdr_total_length(wsi, entry.token) > 0) {
            return entry.name;
        }
    }
    return {};
}

std::string headerField(lws *wsi, lws_token_indexes token)
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

std::string customHeaderField(lws *wsi, std::string_view name)
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

std::int64_t parseNumber(const std::string &text)
{
    std::int64_t number = -1;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

http_head readHead(lws *wsi, std::string_view uri, const std::vector<std::string> &headerNames)
{
    http_head head;
    auto &request = head.request;
    request.method = requestMethod(wsi);
    head.isFramed = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_COLON_METHOD) > 0;
    request.path = uri;
    request.host = headerField(wsi, WSI_TOKEN_HOST);
    request.query = headerField(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    request.authorization = headerField(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.contentType = headerField(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    request.idempotencyKey = customHeaderField(wsi, "idempotency-key:");
    const auto deadline = customHeaderField(wsi, "filbert-deadline-ms:");
    request.deadline = {deadline.empty() ? 0 : parseNumber(deadline)};

    for (const auto &name : headerNames) {
        request.headers.push_back({name, customHeaderField(wsi, name + ":")});
    }
    head.isChunked = !headerField(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING).empty();
    const auto contentLength = headerField(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    head.bodyBytes = contentLength.empty() ? 0 : parseNumber(contentLength);
    return head;
}

} // namespace filbert
