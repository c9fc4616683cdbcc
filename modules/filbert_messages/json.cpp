#include "json.h"

#include "filbert_core/filbert_core.h"

#include <google/protobuf/util/json_util.h>

namespace filbert {

std::error_code readJson(std::string_view body, google::protobuf::Message *message,
                         std::string *detail)
{
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
    FILBERT_INVARIANT(status.ok(), "a message of ours can be written as JSON");
    return text;
}

} // namespace filbert
