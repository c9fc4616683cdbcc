#pragma once

#include "filbert_core/filbert_core.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** One header line; names in lower case. */
struct http_header
{
    std::string name;
    std::string value;
};

/** @param headers any @param name in lower case @return its value; empty if it is not there */
inline std::string headerValue(const std::vector<http_header> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

/** @return a header's value as a number; 0 if it is absent or none */
inline std::int64_t headerNumber(const std::vector<http_header> &headers, std::string_view name)
{
    const auto text = headerValue(headers, name);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** A whole request as a server got it; a body that was cut never becomes a request. */
struct http_request
{
    std::uint64_t id = 0; // of this exchange, unique in the process
    std::string method;
    std::string host; // as the caller named it, with the port if it did
    std::string path;
    std::string query;
    std::string authorization;
    std::string idempotencyKey;
    std::string contentType;
    milliseconds deadline; // 0 = none was stated
    std::string body;
    std::vector<http_header> headers; // those that the server was told to read besides
};

/** A whole answer. */
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    std::string body;
};

/** Bounds that hold before anything is parsed. */
struct http_limits
{
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxPendingRequests = 20'000;
    int idleTimeoutSeconds = 20;
};

/** Files that switch a server to TLS; empty names mean plain HTTP. */
struct tls_files
{
    std::string certificate;
    std::string privateKey;
};

} // namespace filbert
