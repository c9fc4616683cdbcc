#define CATCH_CONFIG_RUNNER
#include "filbert_core/filbert_core.h"

#include <catch2/catch.hpp>
#include <cstdlib>

int main(int argc, char **argv)
{
    filbert::throwOnViolatedInvariant();
    // The same cases every time, unless somebody looks for others.
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);
    return Catch::Session().run(argc, argv);
}
