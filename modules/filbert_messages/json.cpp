#include "json.h"

#include "filbert_core/filbert_core.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace filbert {

namespace {

constexpr std::size_t maxDepth = 32;

/** Detects repeated fields, which the JSON parser of protobuf accepts, and limits the nesting. */
class repeated_field_check : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_array(std::size_t) override { return start_object(0); }
    bool end_array() override { return end_object(); }

    bool start_object(std::size_t) override // NOLINT(google-default-arguments)
    {
        fieldNames.emplace_back();
        problem = fieldNames.size() > maxDepth ? "less deeply nested JSON" : problem;
        return fieldNames.size() <= maxDepth;
    }

    bool end_object() override
    {
        fieldNames.pop_back();
        return true;
    }

    bool key(string_t &name) override
    {
        const bool isNew = fieldNames.back().insert(name).second;
        problem = isNew ? problem : "the field " + name + " to occur only once";
        return isNew;
    }

    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &) override
    {
        problem = "valid JSON in UTF-8 at byte " + std::to_string(position);
        return false;
    }

    std::string problem;

private:
    std::vector<std::set<std::string>> fieldNames; // names seen in each enclosing object or array
};

} // namespace

std::error_code readJson(std::string_view body, google::protobuf::Message *message,
                         std::string *detail)
{
    repeated_field_check check;
    if (!nlohmann::json::sax_parse(body, &check)) {
        *detail = "expected " + check.problem;
        return error_kind::Malformed;
    }
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = false;
    const auto status = google::protobuf::util::JsonStringToMessage(
        google::protobuf::StringPiece {body.data(), body.size()}, message, options);
    if (status.ok()) {
        return {};
    }
    *detail = std::string {status.message()};
    return error_kind::Malformed;
}

std::string writeJson(const google::protobuf::Message &message, bool isIndented)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = isIndented;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    FILBERT_INVARIANT(status.ok(), "every message can be converted to JSON");
    return text;
}

} // namespace filbert
