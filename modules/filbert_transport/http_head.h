#pragma once

#include "http_types.h"

#include <cstdint>
#include <libwebsockets.h>
#include <string>
#include <vector>

namespace filbert {

/** The head of a request. */
struct http_head
{
    http_request request; // without its id and its body
    bool isFramed = false; // HTTP/2, in which headers and body are separate frames
    bool isChunked = false;
    std::int64_t bodyBytes = 0; // as announced; negative if that is no number
};

/** Reads the head of a request that the library has just received.

    @param uri          path of the request
    @param headerNames  additional header fields to read, in lower case
*/
http_head readHead(lws *wsi, std::string_view uri, const std::vector<std::string> &headerNames);

} // namespace filbert
