#pragma once

#include <google/protobuf/message.h>
#include <string>
#include <string_view>
#include <system_error>

namespace filbert {

/** Parses a JSON body strictly: unknown fields, wrong types, invalid UTF-8, repeated fields and
    deep nesting are errors.

    @param body     the JSON text
    @param message  receives the content on success
    @param detail   on failure, receives an explanation for a person
    @return error_kind::Malformed, or no error
*/
std::error_code readJson(std::string_view body, google::protobuf::Message *message,
                         std::string *detail);

/** Converts a message to JSON, with the field names of the .proto file.

    @param message     any message
    @param isIndented  whether to add line breaks and indentation
    @return the JSON text
*/
std::string writeJson(const google::protobuf::Message &message, bool isIndented = false);

} // namespace filbert
