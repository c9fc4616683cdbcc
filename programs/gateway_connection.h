#pragma once

#include "filbert_transport/http_types.h"

#include <string>
#include <system_error>
#include <vector>

namespace filbert {

/** What a gateway answered, or why none did. */
struct gateway_answer
{
    std::error_code error;
    int status = 0;
    std::string body;
};

/** Calls the gateways of --gateways, one after the other until one can be reached.

    @param method   of HTTP
    @param path     with query
    @param body     may be empty
    @param headers  besides the key
    @return the first answer; a request that may have been read is not sent to a second gateway
            unless it only reads
*/
gateway_answer askGateway(const std::string &method, const std::string &path,
                          const std::string &body, const std::vector<http_header> &headers);

} // namespace filbert
