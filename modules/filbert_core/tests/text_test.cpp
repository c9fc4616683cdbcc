#include "filbert_core/filbert_core.h"

#include <catch2/catch.hpp>

using namespace filbert;

// Guards against a text from outside that no receiver of a message can parse.
TEST_CASE("bytes that are not UTF-8 are recognised", "[core]")
{
    for (const auto *valid : {"", "i-1", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\n"}) {
        CHECK(isUtf8(valid));
    }
    for (const auto *invalid :
         {"i-\xff\xfe", "\x80", "\xc3", "\xc3(", "\xc0\xaf", "\xe0\x80\x80", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf0\x9f\x98", "\xe2\x82", "a\xc2"}) {
        CHECK_FALSE(isUtf8(invalid));
        CHECK_FALSE(isPlainText(invalid));
    }
    CHECK(isUtf8(std::string_view {"a\0b", 3}));
}

// Guards against a name with a line end, which would begin another header field.
TEST_CASE("control characters are not plain text", "[core]")
{
    CHECK(isPlainText("i-\xc3\xa9 1"));
    for (const auto *text : {"a\r\nb", "a\tb", "\x7f", "\x1b[0m"}) {
        CHECK_FALSE(isPlainText(text));
    }
    CHECK_FALSE(isPlainText(std::string_view {"a\0b", 3}));
}

// Guards against answers and log lines that hold what another process sent, at any length.
TEST_CASE("any bytes become valid and short text", "[core]")
{
    CHECK(toUtf8("a\xff\xc3\xa9", 10) == "a?\xc3\xa9");
    CHECK(toUtf8(std::string(1'000'000, 'x'), 5) == "xxxxx...");
    CHECK(toUtf8("abc\xc3\xa9", 4) == "abc...");
    CHECK(toUtf8("abcd", 4) == "abcd");
}

// Guards against a log that is filled by whoever sends odd entries.
TEST_CASE("an event that happens often is logged once a second, with the number left out", "[core]")
{
    event_limit limit;
    time_point now {0};
    CHECK(limit.admit(now) == 0);
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(limit.admit(now + milliseconds {999}));
    }
    CHECK(limit.admit(now + milliseconds {1'000}) == 5);
    CHECK_FALSE(limit.admit(now + milliseconds {1'001}));
}
