#include "task_name.h"

#include <array>
#include <charconv>

namespace filbert {

std::string stepToString(const task_name &name)
{
    return name.job + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step);
}

std::string toString(const task_name &name)
{
    return stepToString(name) + '.' + std::to_string(name.index);
}

std::optional<task_name> parseTaskName(std::string_view text)
{
    task_name name;
    const std::array<std::uint32_t *, 3> numbers {&name.index, &name.step, &name.occurrence};
    for (auto *number : numbers) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = text.substr(dot + 1);
        const auto *end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, *number);
        if (parsed.ec != std::errc {} || parsed.ptr != end) {
            return std::nullopt;
        }
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return std::nullopt;
    }
    name.job = text;
    return name;
}

messages::task_reference toTaskReference(const task_name &name)
{
    messages::task_reference reference;
    reference.set_job(name.job);
    reference.set_occurrence(name.occurrence);
    reference.set_step(name.step);
    reference.set_index(name.index);
    return reference;
}

task_name toTaskName(const messages::task_reference &reference)
{
    return {reference.job(), reference.occurrence(), reference.step(), reference.index()};
}

} // namespace filbert
