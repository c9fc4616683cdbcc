#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <utility>

namespace filbert {

/** Runs a RapidCheck property as a check of the test around it; RapidCheck alone only prints. */
template <typename... Arguments>
void checkProperty(Arguments &&...arguments)
{
    CHECK(rc::check(std::forward<Arguments>(arguments)...));
}

} // namespace filbert
