#pragma once

#include <google/protobuf/message.h>
#include <string>
#include <string_view>
#include <system_error>

namespace filbert {

/** Reads a JSON body strictly: unknown fields, wrong types, non-UTF-8, repeated fields and deep
    nesting are errors.

    @param body     the text
    @param message  filled in on success
    @param detail   on failure, what was expected and where
    @return error_kind::Malformed, or no error
*/
std::error_code readJson(std::string_view body, google::protobuf::Message *message,
                         std::string *detail);

/** @param message any message @return its JSON, with field names as in the .proto file */
std::string writeJson(const google::protobuf::Message &message, bool isIndented = false);

} // namespace filbert
