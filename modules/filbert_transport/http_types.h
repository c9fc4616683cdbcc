#pragma once

#include "filbert_core/filbert_core.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** An HTTP header field. The name is in lower case. */
struct http_header
{
    std::string name;
    std::string value;
};

/** @param name in lower case @return the value of a header field; empty if it is absent */
inline std::string headerValue(const std::vector<http_header> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

/** @param name in lower case @return the value of a header field as a number; 0 if it is absent or
    not a number */
inline std::int64_t headerNumber(const std::vector<http_header> &headers, std::string_view name)
{
    const auto text = headerValue(headers, name);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** A complete request as received by a server. Truncated requests are never delivered. */
struct http_request
{
    std::uint64_t id = 0; // unique within the process
    std::string method;
    std::string host; // the Host header, with the port if the caller gave one
    std::string path;
    std::string query;
    std::string authorization;
    std::string idempotencyKey;
    std::string contentType;
    milliseconds deadline; // 0 = none given
    // When the request may have arrived at the earliest. It is earlier than when it was read if the
    // process stood still meanwhile.
    time_point arrivedAfter;
    std::string body;
    std::vector<http_header> headers; // the additional ones that the server was configured to read
};

/** A complete response. */
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    std::string body;
};

class request_limiter;

/** Limits that a server enforces before it parses a body. */
struct http_limits
{
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxPendingRequests = 20'000;
    int idleTimeoutSeconds = 20;
    request_limiter *limiter = nullptr; // of the process; nullptr = its memory is unlimited
};

/** Paths of the PEM files that a server uses for TLS. Empty paths select plain HTTP. */
struct tls_files
{
    std::string certificate;
    std::string privateKey;
};

} // namespace filbert
