#pragma once

#include "filbert_configuration/filbert_configuration.h"
#include "filbert_transport/http_types.h"

#include <string>

namespace filbert {

/** Generates a key at the first call and returns the same one later, so that all runs of a process
    use the same keys. @param id of the key */
generated_key cachedKey(const std::string &id);

/** @return a complete request as the HTTP server passes it to the gateway */
http_request makeRequest(const std::string &method, const std::string &path,
                         const std::string &token, std::string body);

} // namespace filbert
