#pragma once

#include <google/protobuf/message_lite.h>

namespace filbert {

/** Checks that a message can be parsed from its own serialized form.

    A message that was put together in this process may hold what no receiver can parse, such as a
    text field with bytes that are not UTF-8.

    @return whether its receivers can parse it
*/
bool canBeReadBack(const google::protobuf::MessageLite &message);

} // namespace filbert
