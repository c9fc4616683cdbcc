/** @file
    Case 11: a client sends a second request with a body before the first is answered.

    Usage: case_11 RECORD TROUBLE(0|1); exits with 1 if the gateway that got these two requests
    doesn't answer any other client for 30 s, 0 if it does, 2 if the case could not run.
*/

#include "cell.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace review;
using steady = std::chrono::steady_clock;

constexpr int gateway = 0; // that gets the two requests
constexpr auto watchedFor = 30s;
constexpr const char *body = R"({"spec":"work=500","phases":[{"count":1,"cpu":1000,"memMb":256,)"
                             R"("estimateMs":500}]})";

std::string postText(const std::string &jobId)
{
    http_message request;
    request.method = "POST";
    request.path = queuePath + jobId;
    request.headers["Authorization"] = "Bearer tenant-key";
    request.body = body;
    return requestText(request, clientHost);
}

/** @return the processor time that a process has used */
std::int64_t processorMs(pid_t pid)
{
    std::ifstream file {"/proc/" + std::to_string(pid) + "/stat"};
    std::string text;
    std::getline(file, text);
    std::istringstream fields {text.substr(text.rfind(')') + 1)};
    std::string field;
    std::int64_t ticks = 0;
    for (int i = 3; i <= 15 && fields >> field; ++i) {
        ticks += i >= 14 ? std::stoll(field) : 0; // utime and stime
    }
    return ticks * 1'000 / sysconf(_SC_CLK_TCK);
}

/** Sends two requests on one connection, and the second one at once if it shall not wait. */
void sendTwo(const cell &subject, bool shallWait)
{
    connection client {-1};
    if (!client.open(subject.frontOf(gateway), 1s)) {
        subject.record("client: no connection");
        return;
    }
    client.sendText(postText("00000000000000f1"));
    std::optional<http_message> first;
    if (shallWait) {
        first = client.receive(steady::now() + 2s);
    }
    client.sendText(postText("00000000000000f2"));
    if (!shallWait) {
        first = client.receive(steady::now() + 2s);
    }
    const auto second = client.receive(steady::now() + 2s);
    const auto textOf = [](const auto &response) {
        return response ? std::to_string(response->status) : std::string {"no response"};
    };
    subject.record("client sent two POSTs to gateway-0 and leaves: " + textOf(first) + ", "
                   + textOf(second));
}

int play(const std::string &recordPath, bool hasTrouble)
{
    cell subject {cell_settings {}, recordPath};
    if (!subject.start()) {
        return 2;
    }
    for (int i = 0; i < 2; ++i) {
        if (subject.call(i, "GET", queuePath, "", 3s) != 200) {
            return 2;
        }
    }
    sendTwo(subject, !hasTrouble);
    const auto name = "gateway-" + std::to_string(gateway);
    const auto usedBefore = processorMs(subject.pidOf(name));
    const auto watchUntil = steady::now() + watchedFor;
    int answered = 0;
    while (steady::now() < watchUntil) {
        answered += subject.call(gateway, "GET", queuePath, "", 3s) != 0 ? 1 : 0;
        std::this_thread::sleep_for(1s);
    }
    const auto used = processorMs(subject.pidOf(name)) - usedBefore;
    subject.record(name + " has used " + std::to_string(used) + " ms of processor time meanwhile");
    subject.call(1 - gateway, "GET", queuePath, "", 3s);
    subject.record(answered == 0 ? "BROKEN: the gateway answers nobody any more" : "held");
    return answered == 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_11 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}
