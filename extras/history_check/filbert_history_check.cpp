/** @file filbert-history-check: checks what callers and targets recorded during a fault run.

    Usage: filbert-history-check CALLS STARTS... ; prints each broken promise, exits with 1 if any.
*/

#include "history.h"

#include <fstream>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace filbert;
    if (argc < 3) {
        std::cerr << "expected: CALLS STARTS...\n";
        return 2;
    }
    std::ifstream callFile {argv[1]};
    const auto calls = readCallerRecords(callFile);
    std::vector<start_record> starts;
    for (int i = 2; i < argc; ++i) {
        std::ifstream startFile {argv[i]};
        const auto more = readStartRecords(startFile);
        starts.insert(starts.end(), more.begin(), more.end());
    }
    const auto violations = findViolations(calls, starts, {"die", "die-order", "receipt"});
    for (const auto &violation : violations) {
        std::cout << violation << "\n";
    }
    std::cout << "calls=" << calls.size() << " starts=" << starts.size()
              << " violations=" << violations.size() << "\n";
    return violations.empty() && !calls.empty() ? 0 : 1;
}
