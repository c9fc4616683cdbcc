#pragma once

#include "filbert_messages/filbert_messages.h"
#include "gateway_connection.h"

#include <string>
#include <vector>

namespace filbert {

// Exit codes of filbertctl, as its usage names them.
constexpr int exitDone = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitNoGateway = 3;
constexpr int exitUnknown = 4;

constexpr int pollMs = 200; // between two looks while a command waits

using words = std::vector<std::string>;

/** Says on standard error why a request failed. @return an exit code, 0 on success */
int report(const gateway_answer &answer);

/** @return whether --output asks for JSON */
bool isJson();

/** Fetches a path into a message. @return an exit code, 0 on success */
int fetch(const std::string &path, google::protobuf::Message *message);

/** Prints a message as JSON. @return 0 */
int printJson(const google::protobuf::Message &message);

} // namespace filbert
