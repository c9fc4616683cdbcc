#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <utility>

namespace filbert {

/** Checks a RapidCheck property with Catch2's CHECK, so that a falsified property fails the
   enclosing test case; rc::check() alone only prints the result. */
template <typename... Arguments>
void checkProperty(Arguments &&...arguments)
{
    CHECK(rc::check(std::forward<Arguments>(arguments)...));
}

} // namespace filbert
