#pragma once

#include "filbert_transport/http_types.h"

#include <string>
#include <system_error>
#include <vector>

namespace filbert {

/** The response of a gateway, or the error if none answered. */
struct gateway_response
{
    std::error_code error;
    int status = 0;
    std::string body;
};

/** Sends a request to the gateways in --gateways, one after another, until one can be reached.

    @param method   HTTP method
    @param path     path with its query
    @param body     may be empty
    @param headers  headers in addition to the one with the key
    @return the first response. Once a gateway may have received the request, it is sent to another
            gateway only if its method is GET
*/
gateway_response sendRequest(const std::string &method, const std::string &path,
                             const std::string &body, const std::vector<http_header> &headers);

} // namespace filbert
