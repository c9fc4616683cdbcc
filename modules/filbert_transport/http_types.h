#pragma once

#include "filbert_core/filbert_core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbert {

/** One header line; names in lower case. */
struct http_header
{
    std::string name;
    std::string value;
};

/** What a gateway says about a start, in headers beside the caller's own body. */
struct start_headers
{
    std::uint64_t placement = 0;
    std::int64_t epoch = 0;
    std::int64_t startBy = 0; // target's own clock, ms
    std::string service;
    std::string name; // of the target
};

/** A whole request as a server got it; a body that was cut never becomes a request. */
struct http_request
{
    std::uint64_t id = 0; // of this exchange, unique in the process
    std::string method;
    std::string path;
    std::string query;
    std::string authorization;
    std::string idempotencyKey;
    std::string contentType;
    milliseconds deadline; // 0 = none was stated
    std::string body;
    start_headers target; // only of requests to a target
};

/** A whole answer. */
struct http_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<http_header> headers;
    std::string body;
};

/** Bounds that hold before anything is parsed. */
struct http_limits
{
    std::size_t bodyBytes = 1 << 20;
    std::size_t openRequests = 20'000;
    int idleSeconds = 20;
};

/** Files that switch a server to TLS; empty names mean plain HTTP. */
struct tls_files
{
    std::string certificate;
    std::string privateKey;
};

} // namespace filbert
