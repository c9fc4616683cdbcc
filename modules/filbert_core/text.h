#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace filbert {

/** @return whether a text is valid UTF-8, as the string fields of messages must be */
bool isUtf8(std::string_view text);

/** @return whether a text is valid UTF-8 without control characters, so that it can be a header
    field or a name in a log line */
bool isPlainText(std::string_view text);

/** Makes a text from another process fit for a message, an answer or a log line.

    @param text      any bytes
    @param maxBytes  the text is cut after this many; an ellipsis of three dots shows that
    @return the text as valid UTF-8, with a question mark for each byte that is not
*/
std::string toUtf8(std::string_view text, std::size_t maxBytes);

} // namespace filbert
