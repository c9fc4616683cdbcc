#pragma once

#include "filbert_messages/filbert_messages.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbert {

/** Names one task: a job, one of its occurrences, a step of that, an index in the step. */
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_name &) const = default;
};

/** @return the text form JOB.OCCURRENCE.STEP.INDEX */
std::string textOf(const task_name &name);

/** @return the text form without the index, which names the step */
std::string stepTextOf(const task_name &name);

/** @param text as textOf() gives it @return the name, or nothing if it is none */
std::optional<task_name> taskNameFrom(std::string_view text);

/** @return the same as a message */
messages::task_reference referenceTo(const task_name &name);

/** @return the name that a message holds */
task_name nameOf(const messages::task_reference &reference);

} // namespace filbert
