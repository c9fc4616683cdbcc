#include "text.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr unsigned char firstNonAscii = 0x80;
constexpr unsigned char deleteCharacter = 0x7f;

struct byte_range
{
    unsigned char low;
    unsigned char high;
};

/** The well-formed sequences of several bytes, by their first byte (Unicode, table 3-7). The third
    and fourth byte are always between 0x80 and 0xbf. */
struct sequence_row
{
    byte_range first;
    byte_range second;
    std::size_t length;
};

constexpr sequence_row sequenceRows[] = {
    {{0xc2, 0xdf}, {0x80, 0xbf}, 2}, {{0xe0, 0xe0}, {0xa0, 0xbf}, 3},
    {{0xe1, 0xec}, {0x80, 0xbf}, 3}, {{0xed, 0xed}, {0x80, 0x9f}, 3},
    {{0xee, 0xef}, {0x80, 0xbf}, 3}, {{0xf0, 0xf0}, {0x90, 0xbf}, 4},
    {{0xf1, 0xf3}, {0x80, 0xbf}, 4}, {{0xf4, 0xf4}, {0x80, 0x8f}, 4},
};

bool isWithin(char c, byte_range range)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte >= range.low && byte <= range.high;
}

/** @return the length of the character that a text begins with; 0 if it is not valid UTF-8 */
std::size_t firstCharacterLength(std::string_view text)
{
    if (static_cast<unsigned char>(text[0]) < firstNonAscii) {
        return 1;
    }
    for (const auto &row : sequenceRows) {
        if (!isWithin(text[0], row.first) || text.size() < row.length
            || !isWithin(text[1], row.second)) {
            continue;
        }
        const auto rest = text.substr(2, row.length - 2);
        return std::all_of(rest.begin(), rest.end(),
                           [](char c) {
                               return isWithin(c, {0x80, 0xbf});
                           })
            ? row.length
            : 0;
    }
    return 0;
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const auto length = firstCharacterLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

bool isPlainText(std::string_view text)
{
    return isUtf8(text) && std::none_of(text.begin(), text.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte < ' ' || byte == deleteCharacter;
           });
}

std::string toUtf8(std::string_view text, std::size_t maxBytes)
{
    std::string result;
    while (!text.empty()) {
        const auto length = firstCharacterLength(text);
        if (result.size() + std::max<std::size_t>(length, 1) > maxBytes) {
            return result + "...";
        }
        result.append(length == 0 ? std::string_view {"?"} : text.substr(0, length));
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return result;
}

} // namespace filbert
