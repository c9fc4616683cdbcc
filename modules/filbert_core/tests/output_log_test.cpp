#include "filbert_core/output_log.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace filbert;

namespace {

struct pipe_ends
{
    int read = -1;
    int write = -1;

    pipe_ends()
    {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        read = ends[0];
        write = ends[1];
        fcntl(read, F_SETFL, O_NONBLOCK);
    }

    ~pipe_ends()
    {
        close(read);
        close(write);
    }

    std::string readAll() const
    {
        std::string all;
        char buffer[4096];
        for (ssize_t received = 0; (received = ::read(read, buffer, sizeof buffer)) > 0;) {
            all.append(buffer, static_cast<std::size_t>(received));
        }
        return all;
    }
};

} // namespace

TEST_CASE("lines that nobody reads are discarded and counted without blocking", "[log]")
{
    pipe_ends ends;
    output_log log {ends.write, 1'000'000, 8'192};
    const std::string line(200, 'x');
    for (int i = 0; i < 2'000; ++i) {
        log.add(line, {1});
        log.flush();
    }
    CHECK(log.discardedLines() > 0);
    ends.readAll();
    log.flush();
    log.add("after", {2});
    log.flush();
    const auto text = ends.readAll();
    CHECK(text.find("event=log_lines_left_out count=") != std::string::npos);
    CHECK(text.find("after\n") != std::string::npos);
}

TEST_CASE("lines beyond the limit per second are discarded", "[log]")
{
    pipe_ends ends;
    output_log log {ends.write, 10, 65'536};
    for (int i = 0; i < 25; ++i) {
        log.add("line", {100});
    }
    CHECK(log.discardedLines() == 15);
    log.add("line", {1'200});
    log.flush();
    CHECK(ends.readAll().find("count=15") != std::string::npos);
}

// Guards against a burst of work whose log lines cost processor time although nobody gets them.
TEST_CASE("a line beyond the limit is known to be discarded before it is formatted", "[log]")
{
    pipe_ends ends;
    output_log log {ends.write, 2, 65'536};
    CHECK(log.acceptsLine({100}));
    log.addAccepted("first");
    CHECK(log.acceptsLine({100}));
    CHECK_FALSE(log.acceptsLine({100}));
    CHECK(log.discardedLines() == 1);
    CHECK(log.acceptsLine({1'200}));
    log.addAccepted("next");
    log.flush();
    CHECK(ends.readAll() == "first\nevent=log_lines_left_out count=1\nnext\n");
}
