#pragma once

#include "filbert_messages/filbert_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbert {

/** @return whether a text may be the id of a target: printable ASCII without blanks, of limited
    length, so that it can be a header of an HTTP call */
bool isTargetId(std::string_view text);

/** Validates what a target reports about itself, without regard to what is known about it.

    @return what is wrong with it, or nothing
*/
std::optional<std::string> findProblem(const messages::target_life &report);

} // namespace filbert
