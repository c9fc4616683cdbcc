#pragma once

#include "filbert_configuration/filbert_configuration.h"
#include "filbert_transport/http_types.h"

#include <string>

namespace filbert {

/** A key that is made once in a process, so that each run in it has the same ones. @param id of it
 */
generated_key fixedKey(const std::string &id);

/** @return a whole request as an HTTP server hands it on */
http_request requestOf(const std::string &method, const std::string &path, const std::string &token,
                       std::string body);

} // namespace filbert
