#define CATCH_CONFIG_RUNNER
#include "filbert_core/filbert_core.h"

#include <catch2/catch.hpp>

int main(int argc, char **argv)
{
    filbert::throwOnViolatedInvariant();
    return Catch::Session().run(argc, argv);
}
