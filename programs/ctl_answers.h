#pragma once

#include "filbert_messages/filbert_messages.h"
#include "gateway_connection.h"

#include <string>
#include <vector>

namespace filbert {

// Exit codes of filbertctl, as documented in its usage text.
constexpr int exitSuccess = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitNoGateway = 3;
constexpr int exitUnknown = 4;

constexpr int pollMs = 200; // poll interval of commands that wait for a result

using argument_list = std::vector<std::string>;

/** Prints to standard error why a request failed. @return an exit code, 0 on success */
int reportFailure(const gateway_response &response);

/** @return whether --output selects JSON */
bool isJson();

/** Reads a path with GET and parses the response into a message. Prints failures to standard error.

    @return an exit code, 0 on success
*/
int fetch(const std::string &path, google::protobuf::Message *message);

/** Prints a message as JSON to standard output. @return 0 */
int printJson(const google::protobuf::Message &message);

} // namespace filbert
