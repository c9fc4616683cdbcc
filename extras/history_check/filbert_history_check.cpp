/** @file filbert-history-check: checks the records of callers and targets from a fault-injection
   run.

    Usage: filbert-history-check CALLS STARTS...

    Prints each violated guarantee. Exits with 1 if there is any or if no calls were recorded.
*/

#include "history.h"

#include <fstream>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace filbert;
    if (argc < 3) {
        std::cerr << "usage: filbert-history-check CALLS STARTS...\n";
        return 2;
    }
    std::ifstream callFile {argv[1]};
    const auto calls = readCallerRecords(callFile);
    std::vector<start_record> starts;
    for (int i = 2; i < argc; ++i) {
        std::ifstream startFile {argv[i]};
        const auto records = readStartRecords(startFile);
        starts.insert(starts.end(), records.begin(), records.end());
    }
    const auto violations = findViolations(calls, starts, {"die", "die-order", "receipt"});
    for (const auto &violation : violations) {
        std::cout << violation << "\n";
    }
    std::cout << "calls=" << calls.size() << " starts=" << starts.size()
              << " violations=" << violations.size() << "\n";
    return violations.empty() && !calls.empty() ? 0 : 1;
}
