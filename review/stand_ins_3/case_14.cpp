/** @file
    Case 14: the operator merges a tenant, whose jobs run, with another one.

    Usage: case_14 RECORD TROUBLE(0|1); exits with 1 if a job that was accepted and that nobody has
    cancelled is unknown to the client that handed it in, 0 if not, 2 if the case could not run.
*/

#include "cell.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace review;
using nlohmann::json;

constexpr const char *jobId = "00000000000000e5";
constexpr const char *keyOfSecond = "second-tenant-key";
constexpr auto takenOverAfter = 3'000ms; // visible_ms, and more than configApplyMs

/** @return a configuration with two tenants, or with one that has the keys of both */
std::string tenantsText(int version, bool isMerged)
{
    auto document = json::parse(configurationText(version, 3));
    auto &tenants = document["tenants"];
    if (isMerged) {
        tenants[0]["apiKeys"].push_back(keyOfSecond);
    } else {
        auto second = tenants[0];
        second["name"] = "tenant-2";
        second["apiKeys"] = json::array({keyOfSecond});
        tenants.push_back(second);
    }
    return document.dump();
}

int play(const std::string &recordPath, bool hasTrouble)
{
    cell subject {cell_settings {}, recordPath};
    if (!subject.start() || !subject.configure(tenantsText(2, false), 5s)) {
        return 2;
    }
    std::this_thread::sleep_for(takenOverAfter);
    const auto path = std::string {queuePath} + jobId;
    const auto body = R"({"spec":"lasts","phases":[{"count":2,"cpu":2000,"memMb":256,)"
                      R"("estimateMs":1000,"longRunning":true}]})";
    if (subject.call(0, "POST", path, body, 3s, nullptr, keyOfSecond) != 200) {
        return 2;
    }
    std::this_thread::sleep_for(takenOverAfter);
    const bool isKnownBefore = subject.call(0, "GET", path, "", 3s, nullptr, keyOfSecond) == 200;
    if (!isKnownBefore || !subject.configure(tenantsText(3, hasTrouble), 5s)) {
        return 2;
    }
    subject.record(hasTrouble ? "the tenants are one now" : "the tenants are as before");
    std::this_thread::sleep_for(takenOverAfter);
    int unknown = 0;
    for (int i = 0; i < 4; ++i) {
        unknown += subject.call(i % 2, "GET", path, "", 3s, nullptr, keyOfSecond) == 410 ? 1 : 0;
        std::this_thread::sleep_for(1s);
    }
    subject.call(0, "GET", queuePath, "", 3s, nullptr, keyOfSecond);
    subject.call(0, "DELETE", path, "", 3s, nullptr, keyOfSecond);
    std::this_thread::sleep_for(8s); // longer than cancel_ms and stopMs
    const auto ends = subject.recorded({"end " + std::string {jobId}}).size();
    subject.record("tasks that ended after the cancelling: " + std::to_string(ends) + " of 2");
    const bool isBroken = unknown > 0;
    subject.record(isBroken ? "BROKEN: an accepted job that nobody cancelled is answered with 410"
                            : "held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_14 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}
