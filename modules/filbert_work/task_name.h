#pragma once

#include "filbert_messages/filbert_messages.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbert {

/** Identifies a task by its job, the occurrence of the job, the step and the index in the step. */
struct task_name
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_name &) const = default;
};

/** @return the name as text: JOB.OCCURRENCE.STEP.INDEX */
std::string toString(const task_name &name);

/** @return the name of the task's step as text: JOB.OCCURRENCE.STEP */
std::string stepToString(const task_name &name);

/** Parses what toString() returns; a job id may contain dots.
    @return the name, or nothing if the text is not the name of a task */
std::optional<task_name> parseTaskName(std::string_view text);

/** Converts a name to its protobuf form. */
messages::task_reference toTaskReference(const task_name &name);

/** Converts a name from its protobuf form. */
task_name toTaskName(const messages::task_reference &reference);

} // namespace filbert
